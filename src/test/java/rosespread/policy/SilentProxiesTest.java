package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.api.EventHandler.NodeListKind.INCREMENTAL;
import static rosespread.api.EventHandler.NodeState.GONE;
import static rosespread.policy.PolicyFixture.settings;
import static rosespread.policy.SettingsBuilder.method;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests decisions while proxies are silent: their streams are open but acknowledge nothing. */
class SilentProxiesTest {
    private static final long LONG_AGO = Long.MIN_VALUE;
    private static final int NODES = 30;
    private static final int DEPARTING_NODES = 10;
    private static final int PROXIES = 39;
    private static final double QUEUE_LIMIT = 1330;
    private static final double DEPARTURE_INTERVAL_SECONDS = 0.6;

    /**
     * Departures after which a node must be in no table: they take 1.8 s, the drain timeout is 2 s.
     */
    private static final int DEPARTURES_WITHIN_DRAIN_TIMEOUT = 3;

    private final PolicyFixture fixture = new PolicyFixture(settings(QUEUE_LIMIT, 30, method(1)));

    private void start() {
        fixture.slowChannel = true;
        fixture.start(NODES, PROXIES).run(10);
    }

    private long entriesOfNodesBefore(int node) {
        return IntStream.range(0, node).mapToLong(fixture::proxiesHolding).sum();
    }

    /**
     * Guards against silent streams that use up the channel budget: the removals for all other
     * proxies then waited until the silent streams ended.
     */
    @Test
    void departedNodesAreRemovedInTimeWhileThirdOfProxiesIsSilent() {
        start();
        int[] silent = IntStream.range(0, PROXIES).filter(proxy -> proxy % 3 == 2).toArray();
        for (int node = 0; node < DEPARTING_NODES; node++) {
            fixture.list(INCREMENTAL, GONE, LONG_AGO, node);
            fixture.run(DEPARTURE_INTERVAL_SECONDS, silent);
            int overdue = node + 1 - DEPARTURES_WITHIN_DRAIN_TIMEOUT;
            assertEquals(
                    0,
                    entriesOfNodesBefore(overdue),
                    "entries of nodes before " + overdue + " held after departure of " + node);
        }
        fixture.run(DEPARTURE_INTERVAL_SECONDS * DEPARTURES_WITHIN_DRAIN_TIMEOUT, silent);
        assertEquals(0, entriesOfNodesBefore(DEPARTING_NODES));
        assertTrue(
                fixture.maxQueuedEntries <= QUEUE_LIMIT,
                fixture.maxQueuedEntries + " entries queued");
    }

    /**
     * Guards against a controller that gives joining proxies no tables while all its other streams
     * are silent: a table of 300 entries did not fit beside the unacknowledged removals. The table
     * must be sent within an acknowledgement timeout, which is 8 s with a full queue.
     */
    @Test
    void proxyThatJoinsGetsTableThoughAllOthersAreSilent() {
        fixture.slowChannel = true;
        fixture.start(300, 20).run(20);
        int[] silent = IntStream.range(0, 20).toArray();
        for (int node = 0; node < DEPARTING_NODES; node++) {
            fixture.list(INCREMENTAL, GONE, LONG_AGO, node);
            fixture.run(DEPARTURE_INTERVAL_SECONDS, silent);
        }
        fixture.run(10, silent);
        int startIndex = fixture.recorded.size();
        fixture.join(20, 5).run(8, silent);
        assertEquals(1, fixture.recordedSince(startIndex, "subscribe 20 ").size());
        assertTrue(
                fixture.maxQueuedEntries <= QUEUE_LIMIT,
                fixture.maxQueuedEntries + " entries queued");
    }
}
