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
 * All fake nodes of a process behind one HTTP server, each on its own port. Used on the loop's
 * thread; {@link #names()} and {@link #close} may be called from any thread.
 */
public final class FakeNodes implements AutoCloseable {
    private static final long TOKEN_EXPIRY_PERIOD_NANOS = 1_000_000_000L;
    private static final int HTTP_THREADS = 2;

    private final TestLoop loop;
    private final SiteDefinition site;
    private final HttpServer http;
    private final FakeNodeList list;

    /** Nodes by port; read by I/O threads. */
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

    /** Returns the names of all nodes in alphabetical order. */
    public List<String> names() {
        return new ArrayList<>(byName.keySet());
    }

    /** Returns the names of a zone's nodes in alphabetical order. */
    public List<String> names(String zone) {
        return byName.values().stream()
                .map(FakeNode::identity)
                .filter(identity -> identity.zone().equals(zone))
                .map(FakeNode.Identity::name)
                .toList();
    }

    /**
     * Kills a node's process, if it runs, and closes its port; the node list publishes the removal
     * after its delay.
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
     * Starts a node's process cold, if it does not run, and lists the node.
     *
     * @throws UncheckedIOException if the node's port is in use by now
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

    /** Sets whether the node list shows a node as draining. */
    public void setDraining(String name, boolean draining) {
        list.setDraining(name, draining);
    }

    /** Sets whether a node accepts requests without answering them. */
    public void setHung(String name, boolean hung) {
        byName.get(name).setHung(hung);
    }

    /** Sets the ratio of requests that a node fails immediately, 0 to 1. */
    public void setAbortRatio(String name, double ratio) {
        byName.get(name).setAbortRatio(ratio);
    }

    /** Sets the factor on a node's speed; 1 is normal. */
    public void setSpeedFactor(String name, double factor) {
        byName.get(name).setSpeedFactor(factor);
    }

    /** Sets the factor on a node's reported utilization; 1 reports the true value. */
    public void setReportFactor(String name, double factor) {
        byName.get(name).setReportFactor(factor);
    }

    @Override
    public void close() {
        http.close();
    }
}
