package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.discovery.ListedNode;
import rosespread.settings.SettingsException;

/** Delivery of tables to proxies: full tables and deltas, compression, pacing and limits. */
class TableDeliveryTest {
    private static final TableId TABLE = ControllerFixture.TABLE;
    private static final List<MethodId> BOTH_METHODS = List.of(new MethodId(0), new MethodId(1));
    private static final NodeId NODE = ControllerFixture.singleNode(NodeState.READY, 0).id();

    private ControllerFixture fixture;

    @BeforeEach
    void start() throws SettingsException {
        fixture = ControllerFixture.startedAndRecording();
    }

    private void listNode(NodeState state) {
        fixture.listNodes(List.of(ControllerFixture.singleNode(state, 0)));
    }

    private static List<ListedNode> readyNodes(int count) {
        List<ListedNode> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(ControllerFixture.node("n" + i, 80 + i, NodeState.READY, 0));
        }
        return nodes;
    }

    /** Compares the bytes of a full table with and without decompression by the proxy. */
    @Test
    void compressesLargeFullTablesForProxiesThatDecompress() {
        List<ListedNode> nodes = readyNodes(300);
        fixture.listNodes(nodes);
        RecordingTransport compressed = new RecordingTransport();
        RecordingTransport plain = new RecordingTransport();
        fixture.join(compressed, new Frame.Join("p", "a", 5, true, List.of()));
        fixture.join(plain, "q");
        fixture.runRound(
                actions -> {
                    nodes.forEach(node -> actions.setWeight(TABLE, node.id(), 1));
                    actions.subscribe(new ProxyId(0), BOTH_METHODS, TABLE);
                    actions.subscribe(new ProxyId(1), BOTH_METHODS, TABLE);
                },
                15);
        fixture.advanceMillis(900);
        assertEquals(binds(plain), binds(compressed));
        assertEquals(300, compressed.count(Frame.Node.class));
        assertTrue(
                compressed.bytes() * 1.5 < plain.bytes(),
                compressed.bytes() + " of " + plain.bytes());
        // A delta is sent uncompressed, and the proxy knows its nodes already.
        int before = compressed.bytes();
        fixture.runRound(actions -> actions.setWeight(TABLE, nodes.get(0).id(), 0.5), 15);
        fixture.advanceMillis(100);
        assertTrue(compressed.bytes() > before);
        assertEquals(300, compressed.count(Frame.Node.class), "no node may be introduced twice");
    }

    private static List<Frame> binds(RecordingTransport transport) {
        return transport.frames().stream().filter(Frame.Bind.class::isInstance).toList();
    }

    /**
     * The policy changes every weight of all tables again and again. Each change is small; together
     * they exceed the queue limit.
     */
    @Test
    void boundsQueueWhenManyTablesChangeTogether() {
        List<ListedNode> nodes = readyNodes(30);
        fixture.listNodes(nodes);
        List<ProxySession> sessions = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            sessions.add(fixture.join(new RecordingTransport(), "p" + i));
            int proxy = i;
            fixture.runRound(actions -> subscribeToTwoTables(actions, proxy, nodes), 15);
            fixture.advanceMillis(150);
        }
        for (int round = 1; round <= 100; round++) {
            double weight = 1 + round / 1e5;
            boolean requestsAcknowledgement = round % 30 == 0;
            fixture.runRound(
                    actions -> changeAllTables(actions, nodes, weight, requestsAcknowledgement),
                    15);
            sessions.forEach(s -> fixture.receive(s, new Frame.KeepAlive(1, true)));
        }
        assertTrue(
                fixture.status().mostLinesWaiting() <= 1500,
                fixture.status().mostLinesWaiting() + " lines");
        assertTrue(
                fixture.status().tables().stream()
                        .anyMatch(table -> table.refused().containsKey("TOO_MANY_LINES")));
        // A drain is delivered first, also under this load.
        listNode(NodeState.DRAINING);
        fixture.advanceMillis(1500);
        assertTrue(
                fixture.status().tables().stream()
                        .allMatch(t -> t.lines().keySet().stream().noneMatch("n"::equals)));
    }

    private static void subscribeToTwoTables(
            PolicyActions actions, int proxy, List<ListedNode> nodes) {
        int shard = proxy / 10 * 2;
        TableId first = new TableId(1 + shard);
        TableId second = new TableId(2 + shard);
        nodes.forEach(node -> actions.setWeight(first, node.id(), 1));
        nodes.forEach(node -> actions.setWeight(second, node.id(), 1));
        actions.subscribe(new ProxyId(proxy), List.of(new MethodId(0)), first);
        actions.subscribe(new ProxyId(proxy), List.of(new MethodId(1)), second);
    }

    private static void changeAllTables(
            PolicyActions actions,
            List<ListedNode> nodes,
            double weight,
            boolean requestsAcknowledgement) {
        for (int table = 1; table <= 4; table++) {
            for (ListedNode node : nodes) {
                actions.setWeight(new TableId(table), node.id(), weight);
            }
        }
        if (requestsAcknowledgement) {
            actions.requestAcknowledgement(1);
        }
    }

    @Test
    void sendsOneMessagePerRoundWithFullTableThenDeltas() {
        RecordingTransport transport = new RecordingTransport();
        listNode(NodeState.READY);
        ProxySession session = fixture.join(transport, "p");
        fixture.runRound(
                actions -> {
                    actions.setWeight(TABLE, NODE, 0.5);
                    actions.setAdmissionLimit(TABLE, new MethodId(0), 7);
                    actions.subscribe(new ProxyId(0), BOTH_METHODS, TABLE);
                    actions.requestAcknowledgement(3);
                },
                15);
        fixture.advanceMillis(50);
        assertEquals(
                List.of("Hello", "Node", "Bind", "Mark"),
                transport.frames().stream().map(f -> f.getClass().getSimpleName()).toList());
        Frame.Bind bind = (Frame.Bind) transport.frames().get(2);
        assertEquals(List.of(new Frame.Line(NODE, 0.5)), bind.lines());
        assertEquals(Frame.Tries.AFTER_PROOF, bind.levels().get(0).tries());
        assertEquals(10 + 1 + 3, transport.lastMark().lines());
        fixture.receive(session, new Frame.Installed(transport.lastMark().number()));
        listNode(NodeState.DRAINING);
        fixture.runRound(
                actions -> {
                    actions.setWeight(TABLE, NODE, 0);
                    actions.requestAcknowledgement(4);
                },
                15);
        assertTrue(
                fixture.recorder().events().stream()
                        .anyMatch(t -> t.matches("acknowledged 3 by 0 in [0-9]+")),
                fixture.recorder().events().toString());
        fixture.advanceMillis(50);
        assertEquals(1, transport.count(TableDeliveryTest::isDeltaThatRemovesNode));
        assertEquals(
                1, transport.count(Frame.Node.class), "a node must be introduced once per stream");
    }

    private static boolean isDeltaThatRemovesNode(Frame frame) {
        return frame instanceof Frame.Lines delta
                && delta.from() == 1
                && delta.to() == 2
                && delta.digest() == 0
                && delta.lines().equals(List.of(new Frame.Line(NODE, 0)));
    }

    @Test
    void pacesMessagesAsConfiguredAndCountsQueuedEntries() {
        List<RecordingTransport> transports = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            transports.add(new RecordingTransport());
            fixture.join(transports.get(i), "p" + i);
        }
        listNode(NodeState.READY);
        fixture.advanceMillis(15);
        fixture.runRound(
                actions -> {
                    actions.setWeight(TABLE, NODE, 1);
                    for (int i = 0; i < 20; i++) {
                        actions.subscribe(new ProxyId(i), List.of(new MethodId(0)), TABLE);
                    }
                    actions.requestAcknowledgement(1);
                },
                15);
        // 13 entries per message at 1000 entries per second: 13 ms per message, in order.
        fixture.advanceMillis(130);
        long sent = transports.stream().filter(t -> t.count(Frame.Mark.class) > 0).count();
        assertTrue(
                sent >= 9 && sent <= 12,
                sent + " of 20 messages sent after about 140 ms, expected 9 to 12");
        assertEquals((20 - sent) * 13, fixture.status().linesWaiting());
        fixture.advanceMillis(150);
        assertEquals(13, transports.get(19).lastMark().waiting());
        assertEquals(260, fixture.status().mostLinesWaiting());
        assertTrue(transports.get(19).lastMark().queuedMicros() >= 255_000);
    }
}
