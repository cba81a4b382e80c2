package rosespread.testbed;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import rosespread.http.HttpLimits;
import rosespread.http.HttpServer;

/** All stand-in nodes of a process behind one HTTP server, each on a port of its own. */
public final class FakeNodes implements AutoCloseable {
    private static final long FORGET_EVERY = 1_000_000_000L;

    private final TestLoop loop;
    private final SiteDefinition site;
    private final HttpServer http;
    private final FakeNodeList list;
    private final Map<Integer, FakeNode> byPort = new java.util.concurrent.ConcurrentHashMap<>();
    private final Map<String, FakeNode> byName = new TreeMap<>();
    private final Map<String, Map<String, Long>> tokens = new TreeMap<>();

    /** Starts all nodes warm and lists them. Request on the loop's thread. */
    public FakeNodes(
            TestLoop loop,
            SiteDefinition site,
            FakeNodeList list,
            RandomGenerator random,
            TrafficRecorder record)
            throws IOException {
        this.loop = loop;
        this.site = site;
        this.list = list;
        this.http =
                new HttpServer(
                        2,
                        HttpLimits.USUAL,
                        (call, exchange) -> {
                            FakeNode node = byPort.get(exchange.port());
                            loop.run(
                                    () -> {
                                        if (node == null) {
                                            exchange.hangUp();
                                        } else {
                                            node.take(call, exchange);
                                        }
                                    });
                        });
        int number = 0;
        for (Map.Entry<String, SiteDefinition.MachineType> kind : site.machineTypes().entrySet()) {
            for (int i = 0; i < kind.getValue().nodes(); i++) {
                String zone = site.zones().get(number % site.zones().size());
                InetSocketAddress address = http.listen(Ports.free());
                FakeNode node =
                        new FakeNode(
                                "node-" + number,
                                zone,
                                kind.getKey(),
                                address,
                                loop,
                                site,
                                tokens.computeIfAbsent(zone, z -> new TreeMap<>()),
                                random,
                                record);
                node.start(false);
                byName.put(node.name, node);
                byPort.put(address.getPort(), node);
                list.put(node.name, zone, node.kind, address, 0);
                number++;
            }
        }
        list.publish();
        forget();
    }

    private void forget() {
        tokens.values().forEach(zone -> FakeNode.forget(zone, loop.now()));
        loop.after(FORGET_EVERY, this::forget);
    }

    public List<String> names() {
        return new ArrayList<>(byName.keySet());
    }

    public List<String> names(String zone) {
        return byName.values().stream().filter(n -> n.zone.equals(zone)).map(n -> n.name).toList();
    }

    /** The process dies and its port with it; the list learns of it later. */
    public void crash(String name) {
        FakeNode node = byName.get(name);
        if (node.up) {
            node.stop();
            http.drop(node.address);
            list.remove(name);
        }
    }

    /** Starts the process anew, cold, and lists it. */
    public void restart(String name) {
        FakeNode node = byName.get(name);
        if (!node.up) {
            try {
                http.listen(node.address);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            node.start(true);
            list.put(name, node.zone, node.kind, node.address, System.currentTimeMillis());
        }
    }

    /** Tells the list that the node drains, or ends that. */
    public void setDraining(String name, boolean on) {
        list.setDraining(name, on);
    }

    public void setHung(String name, boolean on) {
        byName.get(name).hung = on;
    }

    public void setAbortRatio(String name, double share) {
        byName.get(name).abortShare = share;
    }

    public void setSpeedFactor(String name, double speed) {
        byName.get(name).slowing = speed;
    }

    public void setReportFactor(String name, double factor) {
        byName.get(name).reportFactor = factor;
    }

    @Override
    public void close() {
        http.close();
    }
}
