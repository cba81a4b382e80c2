package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosespread.api.EventHandler;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.discovery.ListedNode;
import rosespread.settings.FleetSettings;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsReader;
import rosespread.settings.SettingsTest;
import rosespread.store.StoreSnapshot;
import rosespread.validation.TableChangeValidator;

/**
 * Pins by length and digest the bytes that the controller writes on the project's own channel for a
 * fixed row of scripted rounds, stream by stream: greetings, whole tables plain and packed, deltas,
 * levels, nodes withdrawn and let in again, marks, missed deltas, versions gone back to, closed
 * streams.
 */
class ChannelBytesTest {
    private static final long MILLI = 1_000_000L;
    private static final int NODES = 120;

    private final List<ListedNode> nodes = new ArrayList<>();
    private final Map<String, ByteArrayOutputStream> streams = new TreeMap<>();
    private Consumer<PolicyActions> script = orders -> {};
    private long now = 1_000_000 * MILLI;
    private ControllerState core;

    private final class Stream implements ProxySession.Transport {
        private final ByteArrayOutputStream bytes;

        Stream(String name) {
            bytes = streams.computeIfAbsent(name, n -> new ByteArrayOutputStream());
        }

        @Override
        public void write(byte[] frames) {
            bytes.writeBytes(frames);
        }

        @Override
        public long writeBufferBytes() {
            return 0;
        }

        @Override
        public void close(Frame.Reason reason, String text) {
            bytes.writeBytes(("closed " + reason.ordinal()).getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public String remoteAddress() {
            return "memory";
        }
    }

    private ControllerState.Environment world() {
        return new ControllerState.Environment() {
            @Override
            public Policy newPolicy(FleetSettings settings, long seed) {
                return (time, feed, orders) -> {
                    feed.deliverTo(new NoOpEventHandler());
                    Consumer<PolicyActions> once = script;
                    script = o -> {};
                    once.accept(orders);
                };
            }

            @Override
            public void checkHealth(ListedNode node) {}

            @Override
            public void watchNodes() {}
        };
    }

    @BeforeEach
    void begin() throws SettingsException {
        core =
                new ControllerState(
                        world(),
                        new TableChangeValidator(),
                        new TableRegistry(new MemoryLog(StoreSnapshot.EMPTY)),
                        () -> 1_700_000_000_000L + now / MILLI);
        core.applySettings(
                now,
                SettingsReader.read(
                        SettingsTest.VALID_SETTINGS.replace(
                                "\"linesPerSecond\":1000", "\"linesPerSecond\":100000")));
        for (int i = 0; i < NODES; i++) {
            nodes.add(node(i, EventHandler.NodeState.READY));
        }
        core.nodesListed(now, nodes);
        pass(50);
    }

    private static ListedNode node(int i, EventHandler.NodeState state) {
        String host = "10.0.0." + i;
        return new ListedNode(
                ListedNode.id("n" + i, host, 80),
                "n" + i,
                host,
                80,
                i % 2 == 0 ? "a" : "b",
                "k",
                1,
                state,
                0);
    }

    private void pass(long millis) {
        for (long end = now + millis * MILLI; now < end; ) {
            now += 5 * MILLI;
            core.runDue(now);
        }
    }

    private void order(Consumer<PolicyActions> orders) {
        script = orders;
        core.healthChecked(now, id(0), EventHandler.HealthCheckResult.PASSED);
        pass(60);
    }

    private ProxySession join(
            String stream, String proxy, String zone, boolean unpacks, Frame.Holding... held) {
        ProxySession link = core.sessionOpened(now, new Stream(stream));
        core.frameReceived(now, link, new Frame.Hello(Frame.VERSION, proxy, List.of()));
        core.frameReceived(now, link, new Frame.Join(proxy, zone, 5, unpacks, List.of(held)));
        pass(20);
        return link;
    }

    private NodeId id(int node) {
        return nodes.get(node).id();
    }

    private void line(PolicyActions orders, int table, int node, double weight) {
        orders.setWeight(new TableId(table), id(node), weight);
    }

    private static void bind(PolicyActions orders, int proxy, int table, int... methods) {
        List<MethodId> all = new ArrayList<>();
        for (int method : methods) {
            all.add(new MethodId(method));
        }
        orders.subscribe(new ProxyId(proxy), all, new TableId(table));
    }

    private static void level(PolicyActions orders, int table, int method, double admitted) {
        orders.setAdmissionLimit(new TableId(table), new MethodId(method), admitted);
    }

    private static void furtherTries(PolicyActions orders, int method, Frame.Tries when) {
        ((TableUpdateWriter) orders).setRetryCondition(new MethodId(method), when);
    }

    private String digests() {
        StringBuilder all = new StringBuilder();
        streams.forEach(
                (name, bytes) ->
                        all.append(name)
                                .append(": ")
                                .append(bytes.size())
                                .append(' ')
                                .append(
                                        Long.toHexString(
                                                Hashing.xxh3_64()
                                                        .hashBytesToLong(bytes.toByteArray())))
                                .append('\n'));
        return all.toString();
    }

    private void wholeTables() {
        join("p0 plain", "p0", "a", false);
        join("p1 unpacks", "p1", "b", true);
        join("p2 two tables", "p2", "a", true, new Frame.Holding(new TableId(2), 5));
        order(
                orders -> {
                    for (int node = 0; node < NODES; node++) {
                        line(orders, 1, node, 1);
                    }
                    for (int node = 0; node < 6; node++) {
                        line(orders, 2, node, 1 + node / 8.0);
                    }
                    level(orders, 1, 0, Double.POSITIVE_INFINITY);
                    level(orders, 2, 1, 12.5);
                    bind(orders, 0, 1, 0, 1);
                    bind(orders, 1, 1, 0, 1);
                    bind(orders, 2, 1, 0);
                    bind(orders, 2, 2, 1);
                    orders.requestAcknowledgement(1);
                });
    }

    private void changes() {
        order(
                orders -> {
                    line(orders, 1, 3, 0.75);
                    line(orders, 1, 4, 0);
                    line(orders, 2, 7, 1.25);
                    orders.requestAcknowledgement(2);
                });
        order(
                orders -> {
                    furtherTries(orders, 0, Frame.Tries.AFTER_ANY_FAILURE);
                    level(orders, 1, 0, 40);
                    level(orders, 1, 1, 0);
                });
        order(orders -> orders.setExcluded(id(3), true));
        order(
                orders -> {
                    bind(orders, 1, 2, 0, 1);
                    orders.requestAcknowledgement(3);
                });
        order(
                orders -> {
                    orders.setExcluded(id(3), false);
                    line(orders, 1, 3, 1);
                    orders.requestAcknowledgement(4);
                });
    }

    private void recovery(ProxySession missing) {
        core.frameReceived(now, missing, new Frame.Missed(new TableId(1), 1));
        pass(300);
        assertEquals(TableActResult.DONE, core.rollback(now, new TableId(2), 1025));
        pass(300);
        nodes.set(5, node(5, EventHandler.NodeState.DRAINING));
        core.nodesListed(now, nodes);
        pass(300);
        join("p0 second stream", "p0", "a", true);
        order(
                orders -> {
                    bind(orders, 0, 1, 0);
                    bind(orders, 0, 2, 1);
                });
        core.frameReceived(now, missing, new Frame.KeepAlive(3, false));
        pass(3000);
    }

    @Test
    void fixedRowOfRounds() {
        wholeTables();
        ProxySession late = join("p3 late", "p3", "b", false);
        order(orders -> bind(orders, 3, 1, 0, 1));
        changes();
        recovery(late);
        assertEquals(
                """
                p0 plain: 5770 21666727d38d06
                p0 second stream: 2241 b875dbec6cccf447
                p1 unpacks: 2699 945e44b14bb1ab1b
                p2 two tables: 2730 2a1836650e8061c6
                p3 late: 7840 faab9d5fb80f41b8
                """,
                digests());
    }
}
