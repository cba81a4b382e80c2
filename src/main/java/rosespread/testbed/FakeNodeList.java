package rosespread.testbed;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.EventHandler.NodeState;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/**
 * A server list that speaks Consul's {@code /v1/health/service/NAME} with blocking queries. Changes
 * are published late; on order it is silent, answers errors, or answers with an older list. Lives
 * on the loop's thread.
 */
public final class FakeNodeList implements AutoCloseable {
    /** How it answers. */
    public enum AnswerMode {
        USUAL,
        SILENT,
        ERRORS,
        OLDER
    }

    private static final long MILLI = 1_000_000L;
    private static final int KEPT = 64;

    private record Entry(
            String zone, String kind, InetSocketAddress address, long started, boolean draining) {}

    private record Published(
            long index, String body, Map<String, TrafficRecorder.NodeListing> nodes) {}

    private final class Waiting {
        final String agent;
        final HttpServer.Exchange exchange;
        boolean done;

        Waiting(String agent, HttpServer.Exchange exchange) {
            this.agent = agent;
            this.exchange = exchange;
        }
    }

    private final ObjectMapper json = new ObjectMapper();
    private final TestLoop loop;
    private final TrafficRecorder record;
    private final HttpServer http;
    private final InetSocketAddress address;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final List<Published> published = new ArrayList<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private long lateNanos;
    private long index = 10;
    private AnswerMode setMode = AnswerMode.USUAL;

    /**
     * @param port where it listens; 0: any free one
     */
    public FakeNodeList(TestLoop loop, int port, TrafficRecorder record) throws IOException {
        this.loop = loop;
        this.record = record;
        this.http =
                new HttpServer(
                        1,
                        HttpLimits.USUAL,
                        (call, exchange) -> loop.run(() -> take(call, exchange)));
        this.address = http.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Changes are published so much later from now on. */
    public void setDelay(long nanos) {
        lateNanos = nanos;
    }

    public void setMode(AnswerMode next) {
        setMode = next;
        if (next == AnswerMode.OLDER) {
            List.copyOf(waiting).forEach(this::answer);
        }
    }

    void put(String name, String zone, String kind, InetSocketAddress at, long startedMillis) {
        entries.put(name, new Entry(zone, kind, at, startedMillis, false));
        changed();
    }

    void remove(String name) {
        entries.remove(name);
        changed();
    }

    void setDraining(String name, boolean on) {
        entries.computeIfPresent(
                name, (n, e) -> new Entry(e.zone(), e.kind(), e.address(), e.started(), on));
        changed();
    }

    private void changed() {
        Published snapshot = render();
        loop.after(lateNanos, () -> show(snapshot));
    }

    /** Shows what is listed now without delay, at the start. */
    void publish() {
        show(render());
    }

    private void show(Published next) {
        if (!published.isEmpty() && published.get(published.size() - 1).index() >= next.index()) {
            return;
        }
        published.add(next);
        if (published.size() > KEPT) {
            published.remove(0);
        }
        List.copyOf(waiting).forEach(this::answer);
    }

    private Published render() {
        ArrayNode all = json.createArrayNode();
        Map<String, TrafficRecorder.NodeListing> nodes = new TreeMap<>();
        entries.forEach(
                (name, entry) -> {
                    ObjectNode one = all.addObject();
                    one.putObject("Node")
                            .put("Node", "machine-" + name)
                            .put("Address", entry.address().getHostString());
                    ObjectNode service = one.putObject("Service");
                    service.put("ID", name)
                            .put("Service", "nodes")
                            .put("Address", "127.0.0.1")
                            .put("Port", entry.address().getPort());
                    service.putArray("Tags").add("zone=" + entry.zone());
                    service.putObject("Meta")
                            .put("kind", entry.kind())
                            .put("started", String.valueOf(entry.started()));
                    service.putObject("Weights").put("Passing", 1).put("Warning", 1);
                    ArrayNode checks = one.putArray("Checks");
                    checks.addObject().put("CheckID", "serfHealth").put("Status", "passing");
                    if (entry.draining()) {
                        checks.addObject()
                                .put("CheckID", "_service_maintenance:" + name)
                                .put("Status", "critical");
                    }
                    nodes.put(
                            name,
                            new TrafficRecorder.NodeListing(
                                    entry.draining() ? NodeState.DRAINING : NodeState.READY,
                                    entry.started(),
                                    entry.kind()));
                });
        return new Published(++index, all.toString(), nodes);
    }

    private void take(HttpMessage.Request call, HttpServer.Exchange exchange) {
        String agent = call.headers().first("user-agent").orElse("").replace("rosespread/", "");
        if (!call.path().equals("/v1/health/service/nodes")) {
            exchange.answer(HttpMessage.Response.of(404, "text/plain", "no such service"));
        } else if (setMode == AnswerMode.ERRORS) {
            exchange.answer(HttpMessage.Response.of(500, "text/plain", "No cluster leader"));
        } else {
            Waiting one = new Waiting(agent, exchange);
            long known = parameter(call.target(), "index");
            waiting.add(one);
            exchange.onClosed(() -> loop.run(() -> waiting.remove(one)));
            if (setMode == AnswerMode.OLDER
                    || known < published.get(published.size() - 1).index()) {
                answer(one);
            } else {
                loop.after(parameter(call.target(), "wait") * MILLI, () -> answer(one));
            }
        }
    }

    private static long parameter(String target, String name) {
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            if (part.startsWith(name + "=")) {
                return Long.parseLong(part.substring(name.length() + 1).replace("ms", ""));
            }
        }
        return 0;
    }

    private void answer(Waiting one) {
        if (one.done || setMode == AnswerMode.SILENT || !waiting.contains(one)) {
            return;
        }
        one.done = true;
        waiting.remove(one);
        Published shown = published.get(setMode == AnswerMode.OLDER ? 0 : published.size() - 1);
        if (setMode == AnswerMode.USUAL) {
            record.nodeListServed(loop.now(), one.agent, shown.nodes());
        }
        one.exchange.answer(
                new HttpMessage.Response(
                        200,
                        HttpHeaders.of(
                                "content-type",
                                "application/json",
                                "x-consul-index",
                                String.valueOf(shown.index())),
                        shown.body().getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    /** The nodes as they are listed, for a proxy that starts: names with address, zone and kind. */
    Map<String, InetSocketAddress> addresses(String zone) {
        Map<String, InetSocketAddress> found = new TreeMap<>();
        entries.forEach(
                (name, entry) -> {
                    if (zone == null || entry.zone().equals(zone)) {
                        found.put(name, entry.address());
                    }
                });
        return found;
    }

    String machineType(String name) {
        Entry entry = entries.get(name);
        return entry == null ? "" : entry.kind();
    }

    @Override
    public void close() {
        http.close();
    }
}
