package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.api.EventHandler.NodeListKind.CACHED;
import static rosespread.api.EventHandler.NodeListKind.INCREMENTAL;
import static rosespread.api.EventHandler.NodeState.DRAINING;
import static rosespread.api.EventHandler.NodeState.READY;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.api.PolicySettings;

/**
 * A whole fleet of proxies reconnects to one controller while nodes drain. No proxy may hold a
 * draining node after the drain timeout, and the channel's queue must stay within its limit.
 */
class MassReconnectTest {
    private static final double QUEUE_LIMIT = 13400;
    private static final int NODES = 200;

    private static PolicySettings settings() {
        return FleetModel.settings(2, 3, 1600, 3, QUEUE_LIMIT, 0, 9100 * FleetModel.MILLI);
    }

    private static FleetModel startFleet(PolicySettings settings, long seed, int proxies) {
        FleetModel model = new FleetModel(settings, seed);
        model.listNodes(CACHED, READY, 0, NODES);
        model.joinAll(0, proxies, 0, 5);
        model.run(24);
        return model;
    }

    /** Joins proxies that hold another controller's tables, in batches over two seconds. */
    private static void massReconnect(FleetModel model, int from, int to, int batch) {
        int next = from;
        for (int step = 0; step < 20; step++) {
            int end = Math.min(next + batch, to);
            model.joinAll(next, end, 0, NODES);
            next = end;
            model.run(0.1);
        }
    }

    private static void reconnect576(FleetModel model) {
        massReconnect(model, 168, 744, 29);
    }

    private static void assertRulesKept(FleetModel model) {
        assertRulesKept(model, QUEUE_LIMIT);
    }

    private static void assertRulesKept(FleetModel model, double queueLimit) {
        FleetFindings findings = model.findings();
        assertEquals(0, findings.drainTimeoutViolations(), findings.toString());
        assertTrue(findings.maxQueuedEntries() <= queueLimit, findings.toString());
    }

    /**
     * The channel is slow, the drain timeout long and the message limit low. The removal of a node
     * that drains during the reconnect must not wait for all messages of the reconnect.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void removesNodesInTimeWhileReconnectFillsQueue(long seed) {
        double queueLimit = 19100;
        PolicySettings settings =
                FleetModel.settings(2, 3, 1500, 6, queueLimit, 40, 14000 * FleetModel.MILLI);
        FleetModel model = startFleet(settings, seed, 204);
        model.run(14);
        model.listNodes(INCREMENTAL, READY, 200, 230);
        model.run(1);
        model.listNodes(INCREMENTAL, DRAINING, 0, 30);
        massReconnect(model, 204, 792, 30);
        model.run(0.6);
        model.listNodes(INCREMENTAL, DRAINING, 30, 40);
        model.run(4);
        model.listNodes(INCREMENTAL, DRAINING, 40, 70);
        model.run(22);
        assertRulesKept(model, queueLimit);
        assertTrue(model.findings().maxMessagesInWindow() <= 40, model.findings().toString());
        assertEquals(792, model.subscribedProxies());
    }

    /**
     * Reproduces a case that was observed with 168 proxies and 576 reconnecting ones: four batches
     * of 30 of 200 nodes drain within ten seconds.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void removesNodesInTimeDuringRolloutAndMassReconnect(long seed) {
        FleetModel model = startFleet(settings(), seed, 168);
        model.listNodes(INCREMENTAL, READY, 200, 230);
        model.run(0.7);
        model.listNodes(INCREMENTAL, DRAINING, 0, 30);
        model.run(1.2);
        reconnect576(model);
        for (int batch = 0; batch < 3; batch++) {
            model.listNodes(INCREMENTAL, READY, 230 + 30 * batch, 260 + 30 * batch);
            model.run(1.5);
            model.listNodes(INCREMENTAL, DRAINING, 30 + 30 * batch, 60 + 30 * batch);
            model.run(1.5);
        }
        model.run(15);
        assertRulesKept(model);
        assertEquals(744, model.subscribedProxies());
    }

    /**
     * Shards with partial tables must accept proxies until they are full. If they accept none after
     * the first one is subscribed, there are 113 tables after two seconds, and the work of a round
     * grows with the number of tables. A table is needed for each of the 25 parts of all nodes, so
     * that nodes are used, besides the six tables of the start. The others are larger: they serve
     * the proxies that came first, and accept no more proxies.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void createsFewTablesDuringMassReconnect(long seed) {
        FleetModel model = startFleet(settings(), seed, 168);
        model.listNodes(INCREMENTAL, READY, 200, 230);
        model.listNodes(INCREMENTAL, DRAINING, 0, 30);
        model.run(1);
        reconnect576(model);
        model.run(5);
        assertEquals(744, model.subscribedProxies());
        assertTrue(model.tables() > 0 && model.tables() <= 50, model.tables() + " tables");
        long used = model.nodesUsedByProxiesFrom(168);
        assertTrue(used >= 190, used + " of 200 nodes are used");
        assertRulesKept(model);
    }

    /**
     * Seven in ten proxies reconnect during a rollout while the queue is half full, so their tables
     * have the minimum size: 25 parts of all nodes. If the proxies are assigned only to the five
     * shards that 110 proxies fill, most nodes are held by no proxy, and the load on a few cold
     * nodes is 3.6 times their capacity.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void doesNotOverloadColdNodesWhenProxiesReconnect(long seed) {
        PolicySettings settings =
                FleetModel.settings(2, 3, 1900, 3, QUEUE_LIMIT, 0, 7900 * FleetModel.MILLI);
        FleetModel model = new FleetModel(settings, seed);
        model.listNodes(CACHED, READY, 0, NODES);
        model.joinAll(0, 150, 0, NODES);
        model.run(15.8);
        model.listNodes(INCREMENTAL, READY, 200, 230);
        model.run(1.8);
        model.leaveFirst(110);
        model.listNodes(INCREMENTAL, DRAINING, 0, 30);
        model.run(1.9);
        model.listNodes(INCREMENTAL, READY, 230, 260);
        for (int proxy = 0; proxy < 110; proxy++) {
            model.join(proxy, 0, NODES);
            model.run(proxy % 8 == 0 ? 0.1 : 0);
            if (proxy == 56) {
                model.listNodes(INCREMENTAL, DRAINING, 30, 60);
            }
        }
        model.run(1);
        model.listNodes(INCREMENTAL, READY, 260, 290);
        model.run(1.6);
        model.listNodes(INCREMENTAL, DRAINING, 60, 90);
        model.run(15);
        assertRulesKept(model);
        assertEquals(150, model.subscribedProxies());
        assertTrue(model.findings().maxColdLoad() < 2, model.findings().toString());
    }

    /** The same case with the whole fleet at one controller. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void doesNotOverloadColdNodesWhenMostOfFleetReconnects(long seed) {
        FleetModel model = startFleet(settings(), seed, 720);
        for (int batch = 0; batch < 4; batch++) {
            model.listNodes(INCREMENTAL, READY, 200 + 30 * batch, 230 + 30 * batch);
            model.run(1);
            model.listNodes(INCREMENTAL, DRAINING, 30 * batch, 30 + 30 * batch);
            model.run(1);
            if (batch == 0) {
                model.leaveFirst(504);
            }
            for (int step = 0; step < 10; step++) {
                int joining = batch == 1 ? 50 : 0;
                model.joinAll(50 * step, 50 * step + joining, 0, NODES);
                model.run(0.1);
            }
        }
        model.run(15);
        assertRulesKept(model);
        assertEquals(716, model.subscribedProxies());
        assertTrue(model.findings().maxColdLoad() < 2, model.findings().toString());
    }

    /**
     * Six in ten nodes are replaced in two steps four seconds apart. Removals entry by entry would
     * exceed what the channel can send within the drain timeout.
     */
    @ParameterizedTest
    @CsvSource({"1, 154", "2, 154", "3, 120", "4, 168"})
    void removesMostNodesWithinDrainTimeout(long seed, int proxies) {
        FleetModel model = startFleet(settings(), seed, proxies);
        model.listNodes(INCREMENTAL, READY, 200, 260);
        model.run(0.7);
        model.listNodes(INCREMENTAL, DRAINING, 0, 60);
        model.run(2.7);
        model.listNodes(INCREMENTAL, READY, 260, 320);
        model.run(1.4);
        model.listNodes(INCREMENTAL, DRAINING, 60, 120);
        model.run(20);
        assertRulesKept(model);
    }

    /** A proxy that never acknowledges delays neither removals elsewhere nor of its own entries. */
    @ParameterizedTest
    @ValueSource(ints = {0, 40, 143})
    void proxyThatNeverAcknowledgesDelaysNoRemoval(int proxy) {
        FleetModel model = startFleet(settings(), 7, 144);
        model.stopAcknowledging(proxy);
        model.listNodes(INCREMENTAL, READY, 200, 230);
        model.run(1);
        model.listNodes(INCREMENTAL, DRAINING, 0, 30);
        model.run(3);
        model.listNodes(INCREMENTAL, DRAINING, 30, 50);
        model.run(15);
        assertRulesKept(model);
    }

    /** Streams break within the drain timeout and are re-established, some of them twice. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void removesNodesInTimeWhenProxiesReconnectWithinDrainTimeout(long seed) {
        FleetModel model = startFleet(settings(), seed, 144);
        model.listNodes(INCREMENTAL, READY, 200, 240);
        model.run(1);
        model.listNodes(INCREMENTAL, DRAINING, 0, 40);
        for (int time = 0; time < 2; time++) {
            model.run(1.5);
            model.leaveFirst(60);
            model.run(1);
            model.joinAll(0, 60, 0, NODES);
        }
        model.run(20);
        assertRulesKept(model);
        assertEquals(144, model.subscribedProxies());
    }
}
