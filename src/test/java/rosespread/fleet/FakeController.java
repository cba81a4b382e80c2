package rosespread.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/** A control API with prepared responses that records the requests. */
final class FakeController implements AutoCloseable {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final Map<String, HttpMessage.Response> responses = new ConcurrentHashMap<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final HttpServer server;
    private final InetSocketAddress address;

    FakeController() throws IOException {
        server = new HttpServer(1, HttpLimits.DEFAULT, this::answer);
        address = new InetSocketAddress("127.0.0.1", server.listen(ANY_PORT).getPort());
    }

    private void answer(HttpMessage.Request request, HttpServer.Exchange exchange) {
        String key = request.method() + " " + request.target();
        String condition = request.headers().first("if-match").map(r -> " if " + r).orElse("");
        requests.add(key + condition);
        exchange.respond(responses.getOrDefault(key, response(404, "{}")));
    }

    private static HttpMessage.Response response(int status, String body) {
        return new HttpMessage.Response(
                status, HttpHeaders.of(), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Prepares the response to a request, given as method, space and target. */
    FakeController on(String request, int status, String body) {
        responses.put(request, response(status, body));
        return this;
    }

    InetSocketAddress address() {
        return address;
    }

    String addressText() {
        return Fleet.text(address);
    }

    /** The requests so far, each with its revision if it has a condition. */
    List<String> requests() {
        return List.copyOf(requests);
    }

    @Override
    public void close() {
        server.close();
    }
}
