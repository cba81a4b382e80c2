package rosespread.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/**
 * All fake nodes of a process behind one HTTP server, each on a port of its own. Used on the loop's
 * thread; {@link #names()} and {@link #close} are for any.
 */
public final class FakeNodes implements AutoCloseable {
    private static final long TOKEN_EXPIRY_PERIOD_NANOS = 1_000_000_000L;
    private static final int HTTP_THREADS = 2;

    private final TestLoop loop;
    private final SiteDefinition site;
    private final HttpServer http;
    private final FakeNodeList list;

    /** Read by I/O threads. */
    private final Map<Integer, FakeNode> byPort = new ConcurrentHashMap<>();

    private final Map<String, FakeNode> byName = new TreeMap<>();
    private final Map<String, IdempotencyTokens> tokensByZone = new TreeMap<>();

    /**
     * Starts all nodes warm and lists them.
     *
     * @throws IOException if there are not enough free ports
     */
    public FakeNodes(
            TestLoop loop,
            SiteDefinition site,
            FakeNodeList list,
            RandomGenerator random,
            TrafficRecorder recorder)
            throws IOException {
        this.loop = loop;
        this.site = site;
        this.list = list;
        this.http = new HttpServer(HTTP_THREADS, HttpLimits.DEFAULT, this::handle);
        for (Map.Entry<String, SiteDefinition.MachineType> type : site.machineTypes().entrySet()) {
            for (int i = 0; i < type.getValue().nodes(); i++) {
                startNode(nextIdentity(type.getKey()), random, recorder);
            }
        }
        list.publish();
        expireTokens();
    }

    private FakeNode.Identity nextIdentity(String machineType) throws IOException {
        int number = byName.size();
        String zone = site.zones().get(number % site.zones().size());
        InetSocketAddress address = http.listen(Ports.free());
        return new FakeNode.Identity("node-" + number, zone, machineType, address);
    }

    private void startNode(
            FakeNode.Identity identity, RandomGenerator random, TrafficRecorder recorder) {
        IdempotencyTokens tokens =
                tokensByZone.computeIfAbsent(identity.zone(), zone -> new IdempotencyTokens());
        FakeNode node = new FakeNode(identity, loop, site, tokens, random, recorder);
        node.start(false);
        byName.put(identity.name(), node);
        byPort.put(identity.address().getPort(), node);
        list.put(identity, 0);
    }

    private void handle(HttpMessage.Request call, HttpServer.Exchange exchange) {
        FakeNode node = byPort.get(exchange.port());
        loop.run(
                () -> {
                    if (node == null) {
                        exchange.abort();
                    } else {
                        node.handle(call, exchange);
                    }
                });
    }

    private void expireTokens() {
        tokensByZone.values().forEach(tokens -> tokens.removeExpired(loop.now()));
        loop.after(TOKEN_EXPIRY_PERIOD_NANOS, this::expireTokens);
    }

    /** The names of all nodes, in order. */
    public List<String> names() {
        return new ArrayList<>(byName.keySet());
    }

    /** The names of a zone's nodes, in order. */
    public List<String> names(String zone) {
        return byName.values().stream()
                .map(FakeNode::identity)
                .filter(identity -> identity.zone().equals(zone))
                .map(FakeNode.Identity::name)
                .toList();
    }

    /**
     * The process of a node dies, if it runs, and its port with it; the list learns of it later.
     */
    public void crash(String name) {
        FakeNode node = byName.get(name);
        if (node.isUp()) {
            node.stop();
            http.drop(node.identity().address());
            list.remove(name);
        }
    }

    /**
     * Starts the process of a node cold, if it does not run, and lists it.
     *
     * @throws UncheckedIOException if its port was taken meanwhile
     */
    public void restart(String name) {
        FakeNode node = byName.get(name);
        if (!node.isUp()) {
            try {
                http.listen(node.identity().address());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            node.start(true);
            list.put(node.identity(), System.currentTimeMillis());
        }
    }

    /** Tells the list that a node drains, or ends that. */
    public void setDraining(String name, boolean draining) {
        list.setDraining(name, draining);
    }

    /** Lets a node take calls without answering, or ends that. */
    public void setHung(String name, boolean hung) {
        byName.get(name).setHung(hung);
    }

    /** Lets a node fail this share of its calls at once, 0 to 1. */
    public void setAbortRatio(String name, double ratio) {
        byName.get(name).setAbortRatio(ratio);
    }

    /** Lets a node work so many times as fast as usual. */
    public void setSpeedFactor(String name, double factor) {
        byName.get(name).setSpeedFactor(factor);
    }

    /** Lets a node report so many times the utilization that it has. */
    public void setReportFactor(String name, double factor) {
        byName.get(name).setReportFactor(factor);
    }

    @Override
    public void close() {
        http.close();
    }
}
