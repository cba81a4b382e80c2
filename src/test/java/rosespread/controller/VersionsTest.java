package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.discovery.ListedNode;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsTest;
import rosespread.store.StoreSnapshot;

/**
 * Table versions over in-memory streams that lose deltas: the entries that proxies hold in the end
 * and on the way.
 */
class VersionsTest {
    private static final TableId TABLE = ControllerFixture.TABLE;
    private static final int NODE_COUNT = 6;
    private static final int STEP_COUNT = 25;
    private static final String SETTINGS =
            SettingsTest.VALID_SETTINGS
                    .replace("\"linesPerSecond\":1000", "\"linesPerSecond\":100000")
                    .replace("\"messageLimit\":30", "\"messageLimit\":0");

    private final NodeState[] states = new NodeState[NODE_COUNT];
    private final List<TableReplicaProxy> proxies = new ArrayList<>();
    private ControllerFixture fixture;

    @BeforeTry
    @BeforeEach
    void start() throws SettingsException {
        proxies.clear();
        Arrays.fill(states, NodeState.READY);
        fixture = ControllerFixture.withRunningWallClock();
        fixture.afterEachStep(() -> proxies.forEach(TableReplicaProxy::sendAnswers));
        fixture.start(StoreSnapshot.EMPTY, SETTINGS);
        listNodes();
    }

    private void listNodes() {
        List<ListedNode> nodes = new ArrayList<>();
        for (int i = 0; i < NODE_COUNT; i++) {
            if (states[i] != NodeState.GONE) {
                nodes.add(ControllerFixture.node(i, states[i]));
            }
        }
        fixture.listNodes(nodes);
    }

    private static NodeId id(int node) {
        return ControllerFixture.id(node);
    }

    private TableReplicaProxy join(String name) {
        TableReplicaProxy proxy = new TableReplicaProxy(fixture, name);
        proxies.add(proxy);
        fixture.runRound(this::subscribeAll, 20);
        return proxy;
    }

    private void subscribeAll(PolicyActions actions) {
        for (int i = 0; i < proxies.size(); i++) {
            actions.subscribe(new ProxyId(i), List.of(new MethodId(0), new MethodId(1)), TABLE);
        }
        actions.requestAcknowledgement(1);
    }

    private void setWeights(double... weights) {
        fixture.runRound(
                actions -> {
                    for (int i = 0; i < weights.length; i++) {
                        actions.setWeight(TABLE, id(i), weights[i]);
                    }
                    actions.requestAcknowledgement(2);
                },
                20);
    }

    private ControllerStatus.Table table() {
        return fixture.status().tables().get(0);
    }

    private static Map<String, Double> byName(Map<NodeId, Double> weights) {
        Map<String, Double> named = new TreeMap<>();
        for (int i = 0; i < NODE_COUNT; i++) {
            if (weights.containsKey(id(i))) {
                named.put("n" + i, weights.get(id(i)));
            }
        }
        return named;
    }

    @Test
    void sendsFullTableAfterMissedDelta() {
        setWeights(1, 1, 1);
        TableReplicaProxy proxy = join("p");
        proxy.loseDeltas(true);
        setWeights(1, 0.9, 1);
        proxy.loseDeltas(false);
        setWeights(1, 0.9, 0.8);
        fixture.advanceMillis(100);
        assertEquals(Map.of("n0", 1.0, "n1", 0.9, "n2", 0.8), byName(proxy.weights()));
        assertEquals(1, fixture.status().missedDeltas());
    }

    @Test
    void rollbackPinsTableAndReleaseMovesStepByStep() {
        setWeights(1, 1, 1, 1);
        TableReplicaProxy proxy = join("p");
        long good = table().version();
        setWeights(0.4, 1, 1, 1, 1.5, 1.5);
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, good));
        fixture.advanceMillis(100);
        assertEquals(Map.of("n0", 1.0, "n1", 1.0, "n2", 1.0, "n3", 1.0), byName(proxy.weights()));
        assertTrue(table().version() > good);
        setWeights(0.4, 1, 1, 1, 1.5, 1.5);
        states[1] = NodeState.DRAINING;
        listNodes();
        fixture.advanceMillis(100);
        assertEquals(
                Map.of("n0", 1.0, "n2", 1.0, "n3", 1.0),
                byName(proxy.weights()),
                "a pinned table must follow drains");
        setWeights(0.4, 0, 1, 1, 1.5, 1.5);
        assertEquals(TableActResult.DONE, fixture.release(TABLE));
        fixture.advanceMillis(300);
        assertTrue(
                proxy.weights().get(id(0)) > 0.4,
                "weight of n0 must not return to 0.4 at once: " + proxy.weights());
        fixture.advanceMillis(9000);
        assertEquals(
                Map.of("n0", 0.4, "n2", 1.0, "n3", 1.0, "n4", 1.5, "n5", 1.5),
                byName(proxy.weights()));
        assertEquals("NONE", table().held());
        assertEquals(
                new TableActResult.Rejected(
                        TableActResult.Reason.NOT_PINNED, "table 1 is not held"),
                fixture.release(TABLE));
        assertEquals(
                new TableActResult.Rejected(
                        TableActResult.Reason.UNKNOWN_VERSION,
                        "table 1 has no version 999 any more"),
                fixture.rollback(TABLE, 999));
        assertEquals(
                new TableActResult.Rejected(TableActResult.Reason.UNKNOWN_TABLE, "no table 7"),
                fixture.rollback(new TableId(7), 1));
    }

    @Test
    void rollbackToVersionWithoutListedNodesUsesAllReadyNodes() {
        setWeights(1);
        TableReplicaProxy proxy = join("p");
        long first = table().version();
        setWeights(0, 1, 1);
        states[0] = NodeState.GONE;
        listNodes();
        fixture.advanceMillis(20);
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, first));
        fixture.advanceMillis(100);
        assertEquals(5, proxy.weights().size(), "all ready nodes");
    }

    @Test
    void laterOfTwoRollbacksApplies() {
        setWeights(1, 1, 1);
        TableReplicaProxy proxy = join("p");
        long one = table().version();
        setWeights(1, 0.9, 1);
        long two = table().version();
        setWeights(1, 0.9, 0.7);
        fixture.rollback(TABLE, one);
        fixture.rollback(TABLE, two);
        fixture.advanceMillis(100);
        assertEquals(Map.of("n0", 1.0, "n1", 0.9, "n2", 1.0), byName(proxy.weights()));
        fixture.rollback(TABLE, one);
        fixture.advanceMillis(100);
        assertEquals(Map.of("n0", 1.0, "n1", 1.0, "n2", 1.0), byName(proxy.weights()));
    }

    /**
     * Restarts, full disks, commits, invalid weights, lost deltas, rejoins, drains, rollbacks and
     * releases in any order.
     */
    @Property(seed = "1", tries = 1000)
    void everyProxyEndsWithCommittedEntries(@ForAll long randomSeed) throws SettingsException {
        Random random = new Random(randomSeed);
        setWeights(1, 1, 1, 1, 1, 1);
        for (int step = 0; step < STEP_COUNT; step++) {
            randomStep(random);
            fixture.advanceMillis(random.nextInt(40));
        }
        settle();
        for (TableReplicaProxy proxy : proxies) {
            assertEquals(table().lines(), byName(proxy.weights()), proxy.name());
            assertEquals(table().version(), proxy.version());
        }
        for (String name : table().lines().keySet()) {
            assertEquals(NodeState.READY, states[Integer.parseInt(name.substring(1))], name);
        }
    }

    private void randomStep(Random random) throws SettingsException {
        switch (random.nextInt(10)) {
            case 0 -> join("p" + proxies.size());
            case 1 -> proxies.forEach(proxy -> proxy.loseDeltas(random.nextBoolean()));
            case 2 -> {
                states[random.nextInt(NODE_COUNT - 1)] = NodeState.values()[random.nextInt(3)];
                listNodes();
            }
            case 3 -> rollbackToAnyVersion(random);
            case 4 -> fixture.release(TABLE);
            case 5 -> setInvalidWeights(random);
            case 6 -> reconnectAny(random);
            case 8 -> restart();
            case 9 -> stallOrResumeLog(random);
            default -> setRandomWeights(random);
        }
    }

    private void rollbackToAnyVersion(Random random) {
        if (!fixture.status().tables().isEmpty()) {
            List<ControllerStatus.Version> retained = table().versions();
            fixture.rollback(TABLE, retained.get(random.nextInt(retained.size())).number());
        }
    }

    private void setInvalidWeights(Random random) {
        setWeights(1, 1, 1, 1, 1, random.nextBoolean() ? Double.NaN : Double.POSITIVE_INFINITY);
    }

    private void reconnectAny(Random random) {
        if (!proxies.isEmpty()) {
            proxies.get(random.nextInt(proxies.size())).reconnect();
        }
    }

    private void restart() throws SettingsException {
        fixture.restart(SETTINGS);
        listNodes();
        proxies.forEach(TableReplicaProxy::connect);
    }

    private void stallOrResumeLog(Random random) {
        MemoryLog log = fixture.log();
        if (log.isStalled()) {
            log.resume();
        } else if (random.nextBoolean()) {
            log.fail("full");
        } else {
            log.stall();
        }
        log.makeDurable();
    }

    private void setRandomWeights(Random random) {
        double[] weights = new double[NODE_COUNT];
        for (int i = 0; i < NODE_COUNT; i++) {
            weights[i] = states[i] == NodeState.READY ? 0.5 + random.nextDouble() : 0;
        }
        setWeights(weights);
    }

    /** Ends the loss of deltas, subscribes all proxies again and advances the clock by 9 s. */
    private void settle() {
        proxies.forEach(proxy -> proxy.loseDeltas(false));
        double[] last = new double[NODE_COUNT];
        for (int i = 0; i < NODE_COUNT; i++) {
            last[i] = states[i] == NodeState.READY ? 1 : 0;
        }
        setWeights(last);
        fixture.runRound(this::subscribeAll, 20);
        fixture.advanceMillis(9000);
    }
}
