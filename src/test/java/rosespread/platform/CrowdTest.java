package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.api.Observer.ListKind.CHANGES;
import static rosespread.api.Observer.ListKind.REMEMBERED;
import static rosespread.api.Observer.NodeState.DRAINING;
import static rosespread.api.Observer.NodeState.READY;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.api.Settings;

/**
 * A whole fleet of proxies comes to one conductor while nodes leave: none may hold a node that left after its
 * grace, and the channel's queue keeps its limit.
 */
class CrowdTest {
    private static final double QUEUE = 13400;

    private static Settings settings() {
        return FleetModel.settings(2, 3, 1600, 3, QUEUE, 0, 9100 * FleetModel.MILLI);
    }

    private static FleetModel quietStart(Settings settings, long seed, int proxies) {
        FleetModel model = new FleetModel(settings, seed);
        model.list(REMEMBERED, READY, 0, 200);
        for (int proxy = 0; proxy < proxies; proxy++) {
            model.join(proxy, 0, 5);
        }
        model.run(24);
        return model;
    }

    private static void crowdOf576(FleetModel model) {
        int next = 168;
        for (int step = 0; step < 20; step++) {
            for (int i = 0; i < 29 && next < 744; i++) {
                model.join(next++, 0, 200);
            }
            model.run(0.1);
        }
    }

    private static void assertRulesKept(FleetModel model) {
        assertEquals(0, model.findings.lateHolders, model.findings.toString());
        assertTrue(model.findings.mostWaiting <= QUEUE, model.findings.toString());
    }

    /** Seen with 168 proxies and 576 more: four batches of 30 of 200 nodes leave within ten seconds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void aCrowdAmidARelease(long seed) {
        FleetModel model = quietStart(settings(), seed, 168);
        model.list(CHANGES, READY, 200, 230);
        model.run(0.7);
        model.list(CHANGES, DRAINING, 0, 30);
        model.run(1.2);
        crowdOf576(model);
        for (int batch = 0; batch < 3; batch++) {
            model.list(CHANGES, READY, 230 + 30 * batch, 260 + 30 * batch);
            model.run(1.5);
            model.list(CHANGES, DRAINING, 30 + 30 * batch, 60 + 30 * batch);
            model.run(1.5);
        }
        model.run(15);
        assertRulesKept(model);
        assertEquals(744, model.bound());
    }

    /**
     * Light groups take more proxies until they are full. They used to be closed to the rest of their members
     * as soon as one was bound: 113 groups after two seconds where 25 suffice, and rounds grow with groups.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void groupsStayFewWhileACrowdIsBound(long seed) {
        FleetModel model = quietStart(settings(), seed, 168);
        model.list(CHANGES, READY, 200, 230);
        model.list(CHANGES, DRAINING, 0, 30);
        model.run(1);
        crowdOf576(model);
        model.run(5);
        assertEquals(744, model.bound());
        assertTrue(model.tables() <= 40, model.tables() + " tables");
        assertRulesKept(model);
    }

    /** Six in ten nodes are replaced in two steps four seconds apart; removals line by line would not fit. */
    @ParameterizedTest
    @CsvSource({"1, 154", "2, 154", "3, 120", "4, 168"})
    void mostNodesReplacedWithinAGrace(long seed, int proxies) {
        FleetModel model = quietStart(settings(), seed, proxies);
        model.list(CHANGES, READY, 200, 260);
        model.run(0.7);
        model.list(CHANGES, DRAINING, 0, 60);
        model.run(2.7);
        model.list(CHANGES, READY, 260, 320);
        model.run(1.4);
        model.list(CHANGES, DRAINING, 60, 120);
        model.run(20);
        assertRulesKept(model);
    }

    /** One proxy that never answers holds up the removal of nobody else, nor of its own lines. */
    @ParameterizedTest
    @ValueSource(ints = {0, 40, 143})
    void aProxyThatNeverAnswersHoldsUpNoRemoval(int silent) {
        FleetModel model = quietStart(settings(), 7, 144);
        model.silence(silent);
        model.list(CHANGES, READY, 200, 230);
        model.run(1);
        model.list(CHANGES, DRAINING, 0, 30);
        model.run(3);
        model.list(CHANGES, DRAINING, 30, 50);
        model.run(15);
        assertRulesKept(model);
    }

    /** Streams that break within the grace and come back, some of them twice. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void proxiesThatReconnectWithinTheGrace(long seed) {
        FleetModel model = quietStart(settings(), seed, 144);
        model.list(CHANGES, READY, 200, 240);
        model.run(1);
        model.list(CHANGES, DRAINING, 0, 40);
        for (int time = 0; time < 2; time++) {
            model.run(1.5);
            for (int proxy = 0; proxy < 60; proxy++) {
                model.leave(proxy);
            }
            model.run(1);
            for (int proxy = 0; proxy < 60; proxy++) {
                model.join(proxy, 0, 200);
            }
        }
        model.run(20);
        assertRulesKept(model);
        assertEquals(144, model.bound());
    }
}
