package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.api.EventHandler.NodeListKind.INCREMENTAL;
import static rosespread.api.EventHandler.NodeState.GONE;
import static rosespread.api.EventHandler.NodeState.READY;
import static rosespread.policy.PolicyFixture.settings;
import static rosespread.policy.SettingsBuilder.method;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.EventHandler;

/** Many proxies that join at once while nodes come and go. */
class MassReconnectDecisionsTest {
    private static final long LONG_AGO = Long.MIN_VALUE;

    private static PolicyFixture withSlowChannel(double queueLimit, int messageLimit) {
        PolicyFixture fixture = new PolicyFixture(settings(queueLimit, messageLimit, method(1)));
        fixture.slowChannel = true;
        return fixture;
    }

    /** A controller that has just started: ready nodes 0 to n-1 are known, no proxy has joined. */
    private static PolicyFixture withNodesOnly(int nodes) {
        return withSlowChannel(8200, 30)
                .list(
                        EventHandler.NodeListKind.CACHED,
                        READY,
                        LONG_AGO,
                        IntStream.range(0, nodes).toArray());
    }

    /**
     * All proxies of a lost controller come to one that was down while a node left, so that its
     * tables never named it; full tables for all would take 5 to 10 seconds, the drain timeout is
     * 2. The second time it has proxies already.
     */
    @ParameterizedTest
    @CsvSource({"GONE, 45, 100", "DRAINING, 45, 100", "GONE, 20, 200", "DRAINING, 60, 100"})
    void proxiesThatMayHoldWhatLeftGetPartialTablesWithinTheDrainTimeoutAndTheRestLater(
            EventHandler.NodeState state, int reconnecting, int nodes) {
        PolicyFixture fixture = withNodesOnly(nodes);
        fixture.round(0);
        fixture.list(INCREMENTAL, state, LONG_AGO, 7).run(0.1);
        IntStream.range(0, reconnecting).forEach(p -> fixture.join(p, 5));
        fixture.run(1.5);
        assertEquals(reconnecting, fixture.recordedSince(0, "subscribe ").size());
        assertTrue(
                fixture.maxQueuedEntries <= 1700 + 40 * reconnecting,
                fixture.maxQueuedEntries + " entries waited");
        fixture.run(60);
        assertEquals(
                (nodes - 1L) * reconnecting,
                IntStream.range(0, nodes).mapToLong(fixture::proxiesHolding).sum());
        int place = fixture.recorded.size();
        fixture.list(INCREMENTAL, state, LONG_AGO, 8).run(3);
        IntStream.range(reconnecting, 2 * reconnecting).forEach(p -> fixture.join(p, 5));
        fixture.run(1.5);
        assertEquals(reconnecting, fixture.recordedSince(place, "subscribe ").size());
        fixture.run(60);
        assertEquals(
                (nodes - 2L) * 2 * reconnecting,
                IntStream.range(0, nodes).mapToLong(fixture::proxiesHolding).sum());
    }

    /**
     * Tables of a fifth of the entries for all would take 13 seconds; partial ones take the channel
     * 5, in which no more waits than leaves within the drain timeout, so that a node that leaves
     * meanwhile is still taken out in time.
     */
    @Test
    void theMoreProxiesReconnectTheSmallerTheirPartialTables() {
        PolicyFixture fixture = withNodesOnly(200);
        fixture.round(0);
        fixture.list(INCREMENTAL, GONE, LONG_AGO, 7).run(0.1);
        IntStream.range(0, 250).forEach(p -> fixture.join(p, 5));
        fixture.run(4.8);
        assertEquals(250, fixture.recordedSince(0, "subscribe ").size());
        assertTrue(fixture.maxQueuedEntries <= 2000, fixture.maxQueuedEntries + " entries waited");
        long used =
                IntStream.range(0, 200).filter(node -> fixture.proxiesHolding(node) > 0).count();
        assertTrue(used >= 100, used + " nodes are used by all groups together");
    }

    /**
     * So many wait that a message to each of them on what left would be more than the queue may
     * hold.
     */
    @ParameterizedTest
    @CsvSource({"100, 3000", "140, 2000", "60, 900"})
    void whatLeavesWhileManyProxiesWaitDoesNotFillTheQueue(int reconnecting, double queue) {
        PolicyFixture fixture = withSlowChannel(queue, 30);
        fixture.start(100, 4).run(20);
        IntStream.range(4, 4 + reconnecting).forEach(p -> fixture.join(p, 5));
        for (int node = 0; node < 30; node++) {
            fixture.list(INCREMENTAL, GONE, LONG_AGO, node).run(0.1);
        }
        fixture.run(20);
        assertTrue(fixture.maxQueuedEntries <= queue, fixture.maxQueuedEntries + " entries waited");
        assertEquals(0, IntStream.range(0, 30).mapToLong(fixture::proxiesHolding).sum());
    }

    /**
     * What left before a controller began is in no list that it gets, but in the tables that
     * proxies bring; that nodes are young says that a release goes on.
     */
    @Test
    void proxiesThatReconnectAfterAReleaseGetPartialTablesThoughTheListNamesNothingThatLeft() {
        PolicyFixture fixture = withNodesOnly(100);
        fixture.run(1);
        fixture.list(INCREMENTAL, READY, 99 * PolicyFixture.SECOND, 7).run(0.1);
        IntStream.range(0, 45).forEach(p -> fixture.join(p, 5));
        fixture.run(1.5);
        assertEquals(45, fixture.recordedSince(0, "subscribe ").size());
        assertTrue(fixture.maxQueuedEntries <= 3500, fixture.maxQueuedEntries + " entries waited");
        fixture.run(30);
        assertEquals(4500, IntStream.range(0, 100).mapToLong(fixture::proxiesHolding).sum());
    }

    /** Full size: 110 nodes, up to 150 proxies; a site's nodes leave one by one and return cold. */
    @ParameterizedTest
    @CsvSource({"50, 3400, 30", "100, 3400, 30", "150, 4900, 20", "31, 1100, 30"})
    void nodesThatLeaveOneByOneKeepTheQueueAndTheMessages(int proxies, double queue, int limit) {
        PolicyFixture fixture = withSlowChannel(queue, limit);
        fixture.start(110, proxies).run(20);
        for (int node = 0; node < 36; node++) {
            fixture.list(INCREMENTAL, GONE, LONG_AGO, node).run(0.2);
        }
        fixture.run(4);
        assertTrue(fixture.maxQueuedEntries <= queue, fixture.maxQueuedEntries + " entries waited");
        assertTrue(fixture.maxMessages <= limit, fixture.maxMessages + " messages to one proxy");
        assertEquals(
                0,
                IntStream.range(0, 36).mapToLong(fixture::proxiesHolding).sum(),
                "nodes that left are held");
        fixture.list(
                        INCREMENTAL,
                        READY,
                        126 * PolicyFixture.SECOND,
                        IntStream.range(0, 36).toArray())
                .run(30);
        assertEquals(
                36L * proxies,
                IntStream.range(0, 36).mapToLong(fixture::proxiesHolding).sum(),
                "returned nodes");
    }

    /** One controller takes over from another while nodes leave. */
    @ParameterizedTest
    @CsvSource({"75, 75, 4900, 20", "50, 50, 3400, 30", "15, 16, 1100, 30"})
    void proxiesThatReconnectAtOnceAreSubscribedWithinTheQueueAndTheMessages(
            int proxies, int more, double queue, int limit) {
        PolicyFixture fixture = withSlowChannel(queue, limit);
        fixture.start(110, proxies).run(20);
        IntStream.range(proxies, proxies + more).forEach(p -> fixture.join(p, 5));
        for (int node = 0; node < 10; node++) {
            fixture.list(INCREMENTAL, GONE, LONG_AGO, node).run(0.3);
        }
        fixture.run(20);
        assertTrue(fixture.maxQueuedEntries <= queue, fixture.maxQueuedEntries + " entries waited");
        assertTrue(fixture.maxMessages <= limit, fixture.maxMessages + " messages to one proxy");
        assertEquals(
                100L * (proxies + more),
                IntStream.range(10, 110).mapToLong(fixture::proxiesHolding).sum());
        assertEquals(0, IntStream.range(0, 10).mapToLong(fixture::proxiesHolding).sum());
    }
}
