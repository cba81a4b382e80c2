package rosespread.testbed;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/**
 * A server list that speaks Consul's {@code /v1/health/service/NAME} with blocking queries. Changes
 * are published late; on request it is silent, answers errors, or answers with an older list. Lives
 * on the loop's thread; {@link #address} and {@link #close} are for any.
 */
public final class FakeNodeList implements AutoCloseable {
    /** How it answers. */
    public enum AnswerMode {
        /** With what was published last. */
        USUAL,
        /** Not at all. */
        SILENT,
        /** With errors. */
        ERRORS,
        /** At once, with the oldest list that it still has. */
        OLDER
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_PUBLISHED_KEPT = 64;
    private static final String PATH = "/v1/health/service/" + ConsulHealthCatalog.SERVICE;
    private static final String TEXT = "text/plain";

    /** A blocking query of a controller, named by its user agent. */
    private record Query(String controller, HttpServer.Exchange exchange) {}

    private final TestLoop loop;
    private final TrafficRecorder recorder;
    private final HttpServer http;
    private final InetSocketAddress address;
    private final ConsulHealthCatalog catalog = new ConsulHealthCatalog();
    private final List<ConsulHealthCatalog.Snapshot> published = new ArrayList<>();
    private final List<Query> pending = new ArrayList<>();
    private long delayNanos;
    private AnswerMode mode = AnswerMode.USUAL;

    /**
     * An empty list that answers from now on.
     *
     * @param port where it listens; 0: any free one
     * @throws IOException if it cannot listen there
     */
    public FakeNodeList(TestLoop loop, int port, TrafficRecorder recorder) throws IOException {
        this.loop = loop;
        this.recorder = recorder;
        this.http =
                new HttpServer(
                        1,
                        HttpLimits.DEFAULT,
                        (call, exchange) -> loop.run(() -> handle(call, exchange)));
        this.address = http.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    }

    /** Where it answers. */
    public InetSocketAddress address() {
        return address;
    }

    /** Changes are published so much later from now on. */
    public void setDelay(long nanos) {
        delayNanos = nanos;
    }

    /** Answers in another way from now on. */
    public void setMode(AnswerMode next) {
        mode = next;
        if (next == AnswerMode.OLDER) {
            answerPending();
        }
    }

    /** Lists a node as ready; {@code startedMillis} since the epoch, 0 if it was always warm. */
    void put(FakeNode.Identity node, long startedMillis) {
        catalog.put(node, startedMillis);
        publishLater();
    }

    void remove(String name) {
        catalog.remove(name);
        publishLater();
    }

    void setDraining(String name, boolean draining) {
        catalog.setDraining(name, draining);
        publishLater();
    }

    private void publishLater() {
        ConsulHealthCatalog.Snapshot snapshot = catalog.snapshot();
        loop.after(delayNanos, () -> publish(snapshot));
    }

    /** Publishes what is listed now without delay, at the start. */
    void publish() {
        publish(catalog.snapshot());
    }

    private void publish(ConsulHealthCatalog.Snapshot snapshot) {
        if (!published.isEmpty() && latest().index() >= snapshot.index()) {
            return;
        }
        published.add(snapshot);
        if (published.size() > MAX_PUBLISHED_KEPT) {
            published.remove(0);
        }
        answerPending();
    }

    private ConsulHealthCatalog.Snapshot latest() {
        return published.get(published.size() - 1);
    }

    private void answerPending() {
        List.copyOf(pending).forEach(this::answer);
    }

    private void handle(HttpMessage.Request call, HttpServer.Exchange exchange) {
        if (!call.path().equals(PATH)) {
            exchange.respond(HttpMessage.Response.of(404, TEXT, "no such service"));
        } else if (mode == AnswerMode.ERRORS) {
            exchange.respond(HttpMessage.Response.of(500, TEXT, "No cluster leader"));
        } else {
            handleQuery(call, exchange);
        }
    }

    private void handleQuery(HttpMessage.Request call, HttpServer.Exchange exchange) {
        String agent = call.headers().first("user-agent").orElse("");
        Query query = new Query(agent.replace("rosespread/", ""), exchange);
        pending.add(query);
        exchange.onClosed(() -> loop.run(() -> pending.remove(query)));
        long knownIndex = parameter(call.target(), "index");
        if (mode == AnswerMode.OLDER || knownIndex < latest().index()) {
            answer(query);
        } else {
            long waitMillis = parameter(call.target(), "wait");
            loop.after(waitMillis * NANOS_PER_MILLI, () -> answer(query));
        }
    }

    /** A number of a query string, without a unit of {@code ms}; 0 if it is not there. */
    private static long parameter(String target, String name) {
        String prefix = name + "=";
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            if (part.startsWith(prefix)) {
                return Long.parseLong(part.substring(prefix.length()).replace("ms", ""));
            }
        }
        return 0;
    }

    /** Answers a query once; not while the list is silent. */
    private void answer(Query query) {
        if (mode == AnswerMode.SILENT || !pending.remove(query)) {
            return;
        }
        ConsulHealthCatalog.Snapshot shown = mode == AnswerMode.OLDER ? published.get(0) : latest();
        if (mode == AnswerMode.USUAL) {
            recorder.nodeListServed(loop.now(), query.controller(), shown.nodes());
        }
        query.exchange()
                .respond(
                        new HttpMessage.Response(
                                200,
                                HttpHeaders.of(
                                        "content-type",
                                        "application/json",
                                        "x-consul-index",
                                        String.valueOf(shown.index())),
                                shown.body().getBytes(StandardCharsets.UTF_8)));
    }

    /** Where all nodes are that are registered now, by name, for a proxy that starts. */
    Map<String, InetSocketAddress> addresses() {
        return catalog.addresses(Optional.empty());
    }

    /** The same for the nodes of a zone. */
    Map<String, InetSocketAddress> addressesIn(String zone) {
        return catalog.addresses(Optional.of(zone));
    }

    /** The machine type of a node; empty if it is not registered. */
    String machineType(String name) {
        return catalog.machineType(name);
    }

    @Override
    public void close() {
        http.close();
    }
}
