package rosespread.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/**
 * A discovery service with the platform's API: a full list, and a watch that waits for the next
 * change.
 */
final class FakeDiscovery implements AutoCloseable {
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<HttpServer.Exchange> watches = new ArrayList<>();
    private final List<String> nodes = new ArrayList<>();
    private final HttpServer server;
    private final InetSocketAddress address;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private int version = 1;
    private String nextAnswer = "";

    FakeDiscovery(String... nodes) throws IOException {
        this.nodes.addAll(List.of(nodes));
        server = new HttpServer(1, HttpLimits.DEFAULT, this::handle);
        address = server.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    }

    /** The address as written in a configuration. */
    String address() {
        return "127.0.0.1:" + address.getPort();
    }

    InetSocketAddress socketAddress() {
        return address;
    }

    /** The requested paths with their queries, in order. */
    List<String> requests() {
        return Collections.unmodifiableList(requests);
    }

    /** Sends this text as the next answer, whatever the request. */
    synchronized void answerNext(String text) {
        nextAnswer = text;
    }

    private synchronized void handle(HttpMessage.Request request, HttpServer.Exchange exchange) {
        String target = request.target();
        requests.add(target);
        if (!nextAnswer.isEmpty()) {
            exchange.respond(HttpMessage.Response.json(200, nextAnswer));
            nextAnswer = "";
        } else if (target.contains("since=" + version + "&")) {
            watches.add(exchange);
            long millis = Long.parseLong(target.replaceAll(".*timeout_ms=", ""));
            timer.schedule(() -> endWatch(exchange), millis, TimeUnit.MILLISECONDS);
        } else {
            exchange.respond(list(!target.contains("since="), nodes));
        }
    }

    private HttpMessage.Response list(boolean full, List<String> entries) {
        String json = "{\"version\":%d,\"full\":%b,\"servers\":[%s]}";
        return HttpMessage.Response.json(
                200, json.formatted(version, full, String.join(",", entries)));
    }

    private synchronized void endWatch(HttpServer.Exchange exchange) {
        if (watches.remove(exchange)) {
            exchange.respond(list(false, List.of()));
        }
    }

    /** Changes a node's entry: answers open watches with it and includes it in later answers. */
    synchronized void change(String entry) {
        version++;
        nodes.removeIf(node -> idOf(node).equals(idOf(entry)));
        nodes.add(entry);
        watches.forEach(exchange -> exchange.respond(list(false, List.of(entry))));
        watches.clear();
    }

    private static String idOf(String entry) {
        return entry.substring(0, entry.indexOf(','));
    }

    /** Whether a watch is open. */
    synchronized boolean hasOpenWatch() {
        return !watches.isEmpty();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
    }
}
