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

/** A control API that returns prepared responses and records the requests. */
final class FakeController implements AutoCloseable {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);

    private final Map<String, HttpMessage.Response> responses = new ConcurrentHashMap<>();
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final HttpServer server;
    private final InetSocketAddress address;

    FakeController() throws IOException {
        server = new HttpServer(1, HttpLimits.DEFAULT, this::respond);
        address = new InetSocketAddress("127.0.0.1", server.listen(ANY_PORT).getPort());
    }

    private void respond(HttpMessage.Request request, HttpServer.Exchange exchange) {
        String key = request.method() + " " + request.target();
        String condition = request.headers().first("if-match").map(r -> " if " + r).orElse("");
        requests.add(key + condition);
        exchange.respond(responses.getOrDefault(key, response(404, "{}")));
    }

    private static HttpMessage.Response response(int status, String body) {
        return new HttpMessage.Response(
                status, HttpHeaders.of(), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Prepares the response to a request, given as HTTP method, space and target. */
    FakeController respondTo(String request, int status, String body) {
        responses.put(request, response(status, body));
        return this;
    }

    InetSocketAddress address() {
        return address;
    }

    String addressText() {
        return Fleet.hostAndPort(address);
    }

    /** Returns the requests so far; a request with an if-match header ends with its value. */
    List<String> requests() {
        return List.copyOf(requests);
    }

    @Override
    public void close() {
        server.close();
    }
}
