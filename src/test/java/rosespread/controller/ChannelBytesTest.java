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
 * Compares the bytes that the controller writes on the proxy channel with recorded values, by
 * length and digest per stream, for a fixed script of rounds: greetings, full tables plain and
 * compressed, deltas, admission limits, nodes excluded and readmitted, marks, missed deltas,
 * rollbacks, closed streams.
 */
class ChannelBytesTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int NODE_COUNT = 120;

    private final List<ListedNode> nodes = new ArrayList<>();
    private final Map<String, ByteArrayOutputStream> streams = new TreeMap<>();
    private Consumer<PolicyActions> nextActions = actions -> {};
    private long now = 1_000_000 * NANOS_PER_MILLI;
    private ControllerState state;

    private final class RecordingStream implements ProxySession.Transport {
        private final ByteArrayOutputStream bytes;

        RecordingStream(String name) {
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

    private ControllerState.Environment environment() {
        return new ControllerState.Environment() {
            @Override
            public Policy newPolicy(FleetSettings settings, long seed) {
                return (nowNanos, events, actions) -> {
                    events.deliverTo(new NoOpEventHandler());
                    Consumer<PolicyActions> current = nextActions;
                    nextActions = ignored -> {};
                    current.accept(actions);
                };
            }

            @Override
            public void checkHealth(ListedNode node) {}

            @Override
            public void watchNodes() {}
        };
    }

    @BeforeEach
    void start() throws SettingsException {
        state =
                new ControllerState(
                        environment(),
                        new TableChangeValidator(),
                        new TableRegistry(new MemoryLog(StoreSnapshot.EMPTY)),
                        () -> 1_700_000_000_000L + now / NANOS_PER_MILLI);
        state.applySettings(
                now,
                SettingsReader.read(
                        SettingsTest.VALID_SETTINGS.replace(
                                "\"linesPerSecond\":1000", "\"linesPerSecond\":100000")));
        for (int i = 0; i < NODE_COUNT; i++) {
            nodes.add(node(i, EventHandler.NodeState.READY));
        }
        state.nodesListed(now, nodes);
        advanceMillis(50);
    }

    private static ListedNode node(int i, EventHandler.NodeState nodeState) {
        String host = "10.0.0." + i;
        return new ListedNode(
                ListedNode.id("n" + i, host, 80),
                "n" + i,
                host,
                80,
                i % 2 == 0 ? "a" : "b",
                "k",
                1,
                nodeState,
                0);
    }

    private void advanceMillis(long millis) {
        for (long end = now + millis * NANOS_PER_MILLI; now < end; ) {
            now += 5 * NANOS_PER_MILLI;
            state.runDue(now);
        }
    }

    private void runRound(Consumer<PolicyActions> actions) {
        nextActions = actions;
        state.healthChecked(now, id(0), EventHandler.HealthCheckResult.PASSED);
        advanceMillis(60);
    }

    private ProxySession join(
            String stream, String proxy, String zone, boolean decompresses, Frame.Holding... held) {
        ProxySession session = state.sessionOpened(now, new RecordingStream(stream));
        state.frameReceived(now, session, new Frame.Hello(Frame.VERSION, proxy, List.of()));
        state.frameReceived(
                now, session, new Frame.Join(proxy, zone, 5, decompresses, List.of(held)));
        advanceMillis(20);
        return session;
    }

    private NodeId id(int node) {
        return nodes.get(node).id();
    }

    private void setWeight(PolicyActions actions, int table, int node, double weight) {
        actions.setWeight(new TableId(table), id(node), weight);
    }

    private static void subscribe(PolicyActions actions, int proxy, int table, int... methods) {
        List<MethodId> methodIds = new ArrayList<>();
        for (int method : methods) {
            methodIds.add(new MethodId(method));
        }
        actions.subscribe(new ProxyId(proxy), methodIds, new TableId(table));
    }

    private static void setAdmissionLimit(
            PolicyActions actions, int table, int method, double limit) {
        actions.setAdmissionLimit(new TableId(table), new MethodId(method), limit);
    }

    private static void setRetryCondition(
            PolicyActions actions, int method, Frame.Tries condition) {
        ((TableUpdateWriter) actions).setRetryCondition(new MethodId(method), condition);
    }

    private String digests() {
        StringBuilder digests = new StringBuilder();
        streams.forEach(
                (name, bytes) ->
                        digests.append(name)
                                .append(": ")
                                .append(bytes.size())
                                .append(' ')
                                .append(
                                        Long.toHexString(
                                                Hashing.xxh3_64()
                                                        .hashBytesToLong(bytes.toByteArray())))
                                .append('\n'));
        return digests.toString();
    }

    private void sendFullTables() {
        join("p0 plain", "p0", "a", false);
        join("p1 unpacks", "p1", "b", true);
        join("p2 two tables", "p2", "a", true, new Frame.Holding(new TableId(2), 5));
        runRound(
                actions -> {
                    for (int node = 0; node < NODE_COUNT; node++) {
                        setWeight(actions, 1, node, 1);
                    }
                    for (int node = 0; node < 6; node++) {
                        setWeight(actions, 2, node, 1 + node / 8.0);
                    }
                    setAdmissionLimit(actions, 1, 0, Double.POSITIVE_INFINITY);
                    setAdmissionLimit(actions, 2, 1, 12.5);
                    subscribe(actions, 0, 1, 0, 1);
                    subscribe(actions, 1, 1, 0, 1);
                    subscribe(actions, 2, 1, 0);
                    subscribe(actions, 2, 2, 1);
                    actions.requestAcknowledgement(1);
                });
    }

    private void changeTables() {
        runRound(
                actions -> {
                    setWeight(actions, 1, 3, 0.75);
                    setWeight(actions, 1, 4, 0);
                    setWeight(actions, 2, 7, 1.25);
                    actions.requestAcknowledgement(2);
                });
        runRound(
                actions -> {
                    setRetryCondition(actions, 0, Frame.Tries.AFTER_ANY_FAILURE);
                    setAdmissionLimit(actions, 1, 0, 40);
                    setAdmissionLimit(actions, 1, 1, 0);
                });
        runRound(actions -> actions.setExcluded(id(3), true));
        runRound(
                actions -> {
                    subscribe(actions, 1, 2, 0, 1);
                    actions.requestAcknowledgement(3);
                });
        runRound(
                actions -> {
                    actions.setExcluded(id(3), false);
                    setWeight(actions, 1, 3, 1);
                    actions.requestAcknowledgement(4);
                });
    }

    private void recover(ProxySession sessionWithMissedDelta) {
        state.frameReceived(now, sessionWithMissedDelta, new Frame.Missed(new TableId(1), 1));
        advanceMillis(300);
        assertEquals(TableActResult.DONE, state.rollback(now, new TableId(2), 1025));
        advanceMillis(300);
        nodes.set(5, node(5, EventHandler.NodeState.DRAINING));
        state.nodesListed(now, nodes);
        advanceMillis(300);
        join("p0 second stream", "p0", "a", true);
        runRound(
                actions -> {
                    subscribe(actions, 0, 1, 0);
                    subscribe(actions, 0, 2, 1);
                });
        state.frameReceived(now, sessionWithMissedDelta, new Frame.KeepAlive(3, false));
        advanceMillis(3000);
    }

    @Test
    void writesRecordedBytes() {
        sendFullTables();
        ProxySession lateSession = join("p3 late", "p3", "b", false);
        runRound(actions -> subscribe(actions, 3, 1, 0, 1));
        changeTables();
        recover(lateSession);
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
