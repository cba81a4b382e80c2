package rosespread.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/** Discovery as the platform has it: a whole list, and a watch that waits for the next change. */
final class FakeDiscovery implements AutoCloseable {
    final List<String> asked = new CopyOnWriteArrayList<>();
    private final List<HttpServer.Exchange> waiting = new ArrayList<>();
    private final List<String> nodes = new ArrayList<>();
    private final HttpServer server;
    private final InetSocketAddress address;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private int version = 1;
    private String cut = "";

    FakeDiscovery(String... nodes) throws IOException {
        this.nodes.addAll(List.of(nodes));
        server = new HttpServer(1, HttpLimits.DEFAULT, this::take);
        address = server.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    }

    String address() {
        return "127.0.0.1:" + address.getPort();
    }

    InetSocketAddress at() {
        return address;
    }

    /** The next answer is this text, whatever was asked. */
    synchronized void nextIs(String text) {
        cut = text;
    }

    private synchronized void take(HttpMessage.Request call, HttpServer.Exchange exchange) {
        asked.add(call.target());
        if (!cut.isEmpty()) {
            exchange.respond(HttpMessage.Response.json(200, cut));
            cut = "";
        } else if (call.target().contains("since=" + version + "&")) {
            waiting.add(exchange);
            long millis = Long.parseLong(call.target().replaceAll(".*timeout_ms=", ""));
            timer.schedule(() -> nothingNew(exchange), millis, TimeUnit.MILLISECONDS);
        } else {
            exchange.respond(list(!call.target().contains("since="), nodes));
        }
    }

    private HttpMessage.Response list(boolean full, List<String> entries) {
        return HttpMessage.Response.json(
                200,
                "{\"version\":"
                        + version
                        + ",\"full\":"
                        + full
                        + ",\"servers\":["
                        + String.join(",", entries)
                        + "]}");
    }

    private synchronized void nothingNew(HttpServer.Exchange exchange) {
        if (waiting.remove(exchange)) {
            exchange.respond(list(false, List.of()));
        }
    }

    /** Tells those who watch; whoever asks later gets it too. */
    synchronized void change(String entry) {
        version++;
        nodes.removeIf(node -> node.substring(0, 12).equals(entry.substring(0, 12)));
        nodes.add(entry);
        waiting.forEach(exchange -> exchange.respond(list(false, List.of(entry))));
        waiting.clear();
    }

    synchronized boolean watched() {
        return !waiting.isEmpty();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        server.close();
    }
}
