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
 * A node list that serves Consul's {@code /v1/health/service/NAME} with blocking queries. Changes
 * are published after a delay. It can be set not to answer, to answer errors, or to answer with an
 * older list. Used on the loop's thread; {@link #address} and {@link #close} may be called from any
 * thread.
 */
public final class FakeNodeList implements AutoCloseable {
    /** How the list answers queries. */
    public enum AnswerMode {
        /** With the latest published list. */
        USUAL,
        /** Not at all. */
        SILENT,
        /** With HTTP errors. */
        ERRORS,
        /** Immediately, with the oldest published list still kept. */
        OLDER
    }

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_KEPT_SNAPSHOTS = 64;
    private static final String PATH = "/v1/health/service/" + ConsulHealthCatalog.SERVICE;
    private static final String TEXT_PLAIN = "text/plain";

    /** A blocking query of a controller, whose name is taken from the user agent. */
    private record Query(String controller, HttpServer.Exchange exchange) {}

    private final TestLoop loop;
    private final TrafficRecorder recorder;
    private final HttpServer http;
    private final InetSocketAddress address;
    private final ConsulHealthCatalog catalog = new ConsulHealthCatalog();
    private final List<ConsulHealthCatalog.Snapshot> published = new ArrayList<>();
    private final List<Query> pending = new ArrayList<>();
    private long publishDelayNanos;
    private AnswerMode mode = AnswerMode.USUAL;

    /**
     * Creates an empty list that answers from now on.
     *
     * @param port port to listen on; 0 for any free port
     * @throws IOException if the list cannot listen on the port
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

    /** Returns the address that the list listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Sets the time from a change to its publication, for changes made from now on. */
    public void setDelay(long nanos) {
        publishDelayNanos = nanos;
    }

    /** Sets how queries are answered from now on. */
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
        loop.after(publishDelayNanos, () -> publish(snapshot));
    }

    /** Publishes the current listings without delay, at the start. */
    void publish() {
        publish(catalog.snapshot());
    }

    private void publish(ConsulHealthCatalog.Snapshot snapshot) {
        if (!published.isEmpty() && latest().index() >= snapshot.index()) {
            return;
        }
        published.add(snapshot);
        if (published.size() > MAX_KEPT_SNAPSHOTS) {
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
            exchange.respond(HttpMessage.Response.of(404, TEXT_PLAIN, "no such service"));
        } else if (mode == AnswerMode.ERRORS) {
            exchange.respond(HttpMessage.Response.of(500, TEXT_PLAIN, "No cluster leader"));
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

    /** Returns a number from a query string without its {@code ms} suffix; 0 if it is absent. */
    private static long parameter(String target, String name) {
        String prefix = name + "=";
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            if (part.startsWith(prefix)) {
                return Long.parseLong(part.substring(prefix.length()).replace("ms", ""));
            }
        }
        return 0;
    }

    /** Answers a query unless it was answered already; does nothing while the list is silent. */
    private void answer(Query query) {
        if (mode == AnswerMode.SILENT || !pending.remove(query)) {
            return;
        }
        ConsulHealthCatalog.Snapshot served =
                mode == AnswerMode.OLDER ? published.get(0) : latest();
        if (mode == AnswerMode.USUAL) {
            recorder.nodeListServed(loop.now(), query.controller(), served.nodes());
        }
        query.exchange()
                .respond(
                        new HttpMessage.Response(
                                200,
                                HttpHeaders.of(
                                        "content-type",
                                        "application/json",
                                        "x-consul-index",
                                        String.valueOf(served.index())),
                                served.body().getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns the addresses of all nodes registered at present, by name, for starting proxies. */
    Map<String, InetSocketAddress> addresses() {
        return catalog.addresses(Optional.empty());
    }

    /** Returns the addresses of a zone's nodes registered at present, by name. */
    Map<String, InetSocketAddress> addressesIn(String zone) {
        return catalog.addresses(Optional.of(zone));
    }

    /** Returns the machine type of a node; empty if the node is not registered. */
    String machineType(String name) {
        return catalog.machineType(name);
    }

    @Override
    public void close() {
        http.close();
    }
}
