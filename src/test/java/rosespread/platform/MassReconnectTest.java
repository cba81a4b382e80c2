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
 * A whole fleet of proxies reconnects to one controller while nodes drain: none may hold a draining
 * node after the drain timeout, and the channel's queue keeps its limit.
 */
class MassReconnectTest {
    private static final double QUEUE_LIMIT = 13400;
    private static final int NODES = 200;

    private static PolicySettings settings() {
        return FleetModel.settings(2, 3, 1600, 3, QUEUE_LIMIT, 0, 9100 * FleetModel.MILLI);
    }

    private static FleetModel quietStart(PolicySettings settings, long seed, int proxies) {
        FleetModel model = new FleetModel(settings, seed);
        model.list(CACHED, READY, 0, NODES);
        model.joinAll(0, proxies, 0, 5);
        model.run(24);
        return model;
    }

    /**
     * Proxies that hold tables of another controller join within two seconds, a batch at a time.
     */
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
        assertEquals(0, findings.lateHolders(), findings.toString());
        assertTrue(findings.maxQueuedEntries() <= queueLimit, findings.toString());
    }

    /**
     * Slow channel, long drain timeout, few messages: a node that drains during the reconnect must
     * not wait behind all of it.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void removalsDuringAReconnectThatFillsTheQueue(long seed) {
        double queueLimit = 19100;
        PolicySettings settings =
                FleetModel.settings(2, 3, 1500, 6, queueLimit, 40, 14000 * FleetModel.MILLI);
        FleetModel model = quietStart(settings, seed, 204);
        model.run(14);
        model.list(INCREMENTAL, READY, 200, 230);
        model.run(1);
        model.list(INCREMENTAL, DRAINING, 0, 30);
        massReconnect(model, 204, 792, 30);
        model.run(0.6);
        model.list(INCREMENTAL, DRAINING, 30, 40);
        model.run(4);
        model.list(INCREMENTAL, DRAINING, 40, 70);
        model.run(22);
        assertRulesKept(model, queueLimit);
        assertTrue(model.findings().maxMessagesInWindow() <= 40, model.findings().toString());
        assertEquals(792, model.subscribedProxies());
    }

    /**
     * Seen with 168 proxies and 576 more: four batches of 30 of 200 nodes drain within ten seconds.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void massReconnectDuringARollout(long seed) {
        FleetModel model = quietStart(settings(), seed, 168);
        model.list(INCREMENTAL, READY, 200, 230);
        model.run(0.7);
        model.list(INCREMENTAL, DRAINING, 0, 30);
        model.run(1.2);
        reconnect576(model);
        for (int batch = 0; batch < 3; batch++) {
            model.list(INCREMENTAL, READY, 230 + 30 * batch, 260 + 30 * batch);
            model.run(1.5);
            model.list(INCREMENTAL, DRAINING, 30 + 30 * batch, 60 + 30 * batch);
            model.run(1.5);
        }
        model.run(15);
        assertRulesKept(model);
        assertEquals(744, model.subscribedProxies());
    }

    /**
     * Partial tables take more proxies until they are full. They used to be closed to further
     * proxies as soon as one was subscribed: 113 tables after two seconds, and rounds grow with
     * tables. There must be one for each of the 25 parts of all nodes, so that nodes are used,
     * besides the six of the start; the rest are heavier ones of those that came first, which take
     * no more.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void tablesStayFewDuringAMassReconnect(long seed) {
        FleetModel model = quietStart(settings(), seed, 168);
        model.list(INCREMENTAL, READY, 200, 230);
        model.list(INCREMENTAL, DRAINING, 0, 30);
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
     * Seven in ten proxies reconnect during a rollout. The queue is half full then, so that their
     * tables are as small as can be: 25 parts of all nodes. They used to be dealt to the five
     * groups that 110 proxies fill: most nodes were held by nobody, a few cold ones bore 3.6 times
     * what they could do.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void proxiesReconnectToColdNodes(long seed) {
        PolicySettings settings =
                FleetModel.settings(2, 3, 1900, 3, QUEUE_LIMIT, 0, 7900 * FleetModel.MILLI);
        FleetModel model = new FleetModel(settings, seed);
        model.list(CACHED, READY, 0, NODES);
        model.joinAll(0, 150, 0, NODES);
        model.run(15.8);
        model.list(INCREMENTAL, READY, 200, 230);
        model.run(1.8);
        model.leaveFirst(110);
        model.list(INCREMENTAL, DRAINING, 0, 30);
        model.run(1.9);
        model.list(INCREMENTAL, READY, 230, 260);
        for (int proxy = 0; proxy < 110; proxy++) {
            model.join(proxy, 0, NODES);
            model.run(proxy % 8 == 0 ? 0.1 : 0);
            if (proxy == 56) {
                model.list(INCREMENTAL, DRAINING, 30, 60);
            }
        }
        model.run(1);
        model.list(INCREMENTAL, READY, 260, 290);
        model.run(1.6);
        model.list(INCREMENTAL, DRAINING, 60, 90);
        model.run(15);
        assertRulesKept(model);
        assertEquals(150, model.subscribedProxies());
        assertTrue(model.findings().maxColdLoad() < 2, model.findings().toString());
    }

    /** The same with the whole fleet at one controller. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void mostOfAFleetReconnectsToColdNodes(long seed) {
        FleetModel model = quietStart(settings(), seed, 720);
        for (int batch = 0; batch < 4; batch++) {
            model.list(INCREMENTAL, READY, 200 + 30 * batch, 230 + 30 * batch);
            model.run(1);
            model.list(INCREMENTAL, DRAINING, 30 * batch, 30 + 30 * batch);
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
     * Six in ten nodes are replaced in two steps four seconds apart; removals entry by entry would
     * not fit.
     */
    @ParameterizedTest
    @CsvSource({"1, 154", "2, 154", "3, 120", "4, 168"})
    void mostNodesReplacedWithinADrainTimeout(long seed, int proxies) {
        FleetModel model = quietStart(settings(), seed, proxies);
        model.list(INCREMENTAL, READY, 200, 260);
        model.run(0.7);
        model.list(INCREMENTAL, DRAINING, 0, 60);
        model.run(2.7);
        model.list(INCREMENTAL, READY, 260, 320);
        model.run(1.4);
        model.list(INCREMENTAL, DRAINING, 60, 120);
        model.run(20);
        assertRulesKept(model);
    }

    /** One proxy that never acknowledges delays the removal at nobody, nor of its own entries. */
    @ParameterizedTest
    @ValueSource(ints = {0, 40, 143})
    void proxyThatNeverAcknowledgesDelaysNoRemoval(int silent) {
        FleetModel model = quietStart(settings(), 7, 144);
        model.stopAcknowledgements(silent);
        model.list(INCREMENTAL, READY, 200, 230);
        model.run(1);
        model.list(INCREMENTAL, DRAINING, 0, 30);
        model.run(3);
        model.list(INCREMENTAL, DRAINING, 30, 50);
        model.run(15);
        assertRulesKept(model);
    }

    /** Streams that break within the drain timeout and come back, some of them twice. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void proxiesThatReconnectWithinTheDrainTimeout(long seed) {
        FleetModel model = quietStart(settings(), seed, 144);
        model.list(INCREMENTAL, READY, 200, 240);
        model.run(1);
        model.list(INCREMENTAL, DRAINING, 0, 40);
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
