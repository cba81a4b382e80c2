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
 * Versions over streams in memory that lose deltas: what proxies hold in the end, and on the way.
 */
class VersionsTest {
    private static final TableId TABLE = ControllerFixture.TABLE;
    private static final int NODES = 6;
    private static final int STEPS = 25;
    private static final String SETTINGS =
            SettingsTest.VALID_SETTINGS
                    .replace("\"linesPerSecond\":1000", "\"linesPerSecond\":100000")
                    .replace("\"messageLimit\":30", "\"messageLimit\":0");

    private final NodeState[] states = new NodeState[NODES];
    private final List<FollowingProxy> proxies = new ArrayList<>();
    private ControllerFixture fixture;

    @BeforeTry
    @BeforeEach
    void start() throws SettingsException {
        proxies.clear();
        Arrays.fill(states, NodeState.READY);
        fixture = ControllerFixture.withRunningWallClock();
        fixture.afterEachStep(() -> proxies.forEach(FollowingProxy::answer));
        fixture.start(StoreSnapshot.EMPTY, SETTINGS);
        list();
    }

    private void list() {
        List<ListedNode> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            if (states[i] != NodeState.GONE) {
                nodes.add(ControllerFixture.node(i, states[i]));
            }
        }
        fixture.list(nodes);
    }

    private static NodeId id(int node) {
        return ControllerFixture.id(node);
    }

    private FollowingProxy join(String name) {
        FollowingProxy proxy = new FollowingProxy(fixture, name);
        proxies.add(proxy);
        fixture.order(this::subscribeAll, 20);
        return proxy;
    }

    private void subscribeAll(PolicyActions actions) {
        for (int i = 0; i < proxies.size(); i++) {
            actions.subscribe(new ProxyId(i), List.of(new MethodId(0), new MethodId(1)), TABLE);
        }
        actions.requestAcknowledgement(1);
    }

    private void weights(double... weights) {
        fixture.order(
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
        for (int i = 0; i < NODES; i++) {
            if (weights.containsKey(id(i))) {
                named.put("n" + i, weights.get(id(i)));
            }
        }
        return named;
    }

    @Test
    void aProxyThatMissedADeltaGetsTheFullTable() {
        weights(1, 1, 1);
        FollowingProxy proxy = join("p");
        proxy.loseDeltas(true);
        weights(1, 0.9, 1);
        proxy.loseDeltas(false);
        weights(1, 0.9, 0.8);
        fixture.pass(100);
        assertEquals(Map.of("n0", 1.0, "n1", 0.9, "n2", 0.8), byName(proxy.weights()));
        assertEquals(1, fixture.status().missedDeltas());
    }

    @Test
    void aRollbackPinsTheTableAndAReleaseGoesStepByStep() {
        weights(1, 1, 1, 1);
        FollowingProxy proxy = join("p");
        long good = table().version();
        weights(0.4, 1, 1, 1, 1.5, 1.5);
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, good));
        fixture.pass(100);
        assertEquals(Map.of("n0", 1.0, "n1", 1.0, "n2", 1.0, "n3", 1.0), byName(proxy.weights()));
        assertTrue(table().version() > good);
        weights(0.4, 1, 1, 1, 1.5, 1.5);
        states[1] = NodeState.DRAINING;
        list();
        fixture.pass(100);
        assertEquals(
                Map.of("n0", 1.0, "n2", 1.0, "n3", 1.0),
                byName(proxy.weights()),
                "a held table keeps drains");
        weights(0.4, 0, 1, 1, 1.5, 1.5);
        assertEquals(TableActResult.DONE, fixture.release(TABLE));
        fixture.pass(300);
        assertTrue(proxy.weights().get(id(0)) > 0.4, "not at once: " + proxy.weights());
        fixture.pass(9000);
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
    void aRollbackToAVersionWithoutListedNodesUsesAllThatCanServe() {
        weights(1);
        FollowingProxy proxy = join("p");
        long first = table().version();
        weights(0, 1, 1);
        states[0] = NodeState.GONE;
        list();
        fixture.pass(20);
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, first));
        fixture.pass(100);
        assertEquals(5, proxy.weights().size(), "all that can serve");
    }

    @Test
    void theLaterOfTwoRollbacksHolds() {
        weights(1, 1, 1);
        FollowingProxy proxy = join("p");
        long one = table().version();
        weights(1, 0.9, 1);
        long two = table().version();
        weights(1, 0.9, 0.7);
        fixture.rollback(TABLE, one);
        fixture.rollback(TABLE, two);
        fixture.pass(100);
        assertEquals(Map.of("n0", 1.0, "n1", 0.9, "n2", 1.0), byName(proxy.weights()));
        fixture.rollback(TABLE, one);
        fixture.pass(100);
        assertEquals(Map.of("n0", 1.0, "n1", 1.0, "n2", 1.0), byName(proxy.weights()));
    }

    /**
     * Restarts, full disks, commits, refused weights, losses, rejoins, drains, rollbacks and
     * releases in any order.
     */
    @Property(seed = "1", tries = 1000)
    void everyProxyEndsWithTheCommittedLines(@ForAll long history) throws SettingsException {
        Random random = new Random(history);
        weights(1, 1, 1, 1, 1, 1);
        for (int step = 0; step < STEPS; step++) {
            randomStep(random);
            fixture.pass(random.nextInt(40));
        }
        settle();
        for (FollowingProxy proxy : proxies) {
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
                states[random.nextInt(NODES - 1)] = NodeState.values()[random.nextInt(3)];
                list();
            }
            case 3 -> rollbackToAny(random);
            case 4 -> fixture.release(TABLE);
            case 5 -> refusedWeights(random);
            case 6 -> redialAny(random);
            case 8 -> restart();
            case 9 -> stallOrRepairDisk(random);
            default -> randomWeights(random);
        }
    }

    private void rollbackToAny(Random random) {
        if (!fixture.status().tables().isEmpty()) {
            List<ControllerStatus.Version> retained = table().versions();
            fixture.rollback(TABLE, retained.get(random.nextInt(retained.size())).number());
        }
    }

    private void refusedWeights(Random random) {
        weights(1, 1, 1, 1, 1, random.nextBoolean() ? Double.NaN : Double.POSITIVE_INFINITY);
    }

    private void redialAny(Random random) {
        if (!proxies.isEmpty()) {
            proxies.get(random.nextInt(proxies.size())).redial();
        }
    }

    private void restart() throws SettingsException {
        fixture.restart(SETTINGS);
        list();
        proxies.forEach(FollowingProxy::dial);
    }

    private void stallOrRepairDisk(Random random) {
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

    private void randomWeights(Random random) {
        double[] some = new double[NODES];
        for (int i = 0; i < NODES; i++) {
            some[i] = states[i] == NodeState.READY ? 0.5 + random.nextDouble() : 0;
        }
        weights(some);
    }

    /** Nothing is lost any more: all proxies are subscribed anew and time passes. */
    private void settle() {
        proxies.forEach(proxy -> proxy.loseDeltas(false));
        double[] last = new double[NODES];
        for (int i = 0; i < NODES; i++) {
            last[i] = states[i] == NodeState.READY ? 1 : 0;
        }
        weights(last);
        fixture.order(this::subscribeAll, 20);
        fixture.pass(9000);
    }
}
