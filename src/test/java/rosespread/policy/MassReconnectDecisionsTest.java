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

/** Tests the decisions when many proxies join at once while nodes join and leave. */
class MassReconnectDecisionsTest {
    private static final long LONG_AGO = Long.MIN_VALUE;

    private static PolicyFixture withSlowChannel(double queueLimit, int messageLimit) {
        PolicyFixture fixture = new PolicyFixture(settings(queueLimit, messageLimit, method(1)));
        fixture.slowChannel = true;
        return fixture;
    }

    /**
     * A controller that has just started: ready nodes 0 to nodes-1 are known, no proxy has joined.
     */
    private static PolicyFixture withNodesOnly(int nodes) {
        return withSlowChannel(8200, 30)
                .list(
                        EventHandler.NodeListKind.CACHED,
                        READY,
                        LONG_AGO,
                        IntStream.range(0, nodes).toArray());
    }

    /**
     * All proxies of a lost controller reconnect to a controller that was down while a node left,
     * so that its own tables never named the node. The drain timeout is 2 s; full tables for all
     * proxies would take 5 to 10 s. In the second mass reconnect the controller already has
     * proxies.
     */
    @ParameterizedTest
    @CsvSource({"GONE, 45, 100", "DRAINING, 45, 100", "GONE, 20, 200", "DRAINING, 60, 100"})
    void proxiesThatMayHoldDepartedNodesGetPartialTablesWithinDrainTimeoutAndRestLater(
            EventHandler.NodeState state, int reconnecting, int nodes) {
        PolicyFixture fixture = withNodesOnly(nodes);
        fixture.round(0);
        fixture.list(INCREMENTAL, state, LONG_AGO, 7).run(0.1);
        IntStream.range(0, reconnecting).forEach(p -> fixture.join(p, 5));
        fixture.run(1.5);
        assertEquals(reconnecting, fixture.recordedSince(0, "subscribe ").size());
        assertTrue(
                fixture.maxQueuedEntries <= 1700 + 40 * reconnecting,
                fixture.maxQueuedEntries + " entries queued");
        fixture.run(60);
        assertEquals(
                (nodes - 1L) * reconnecting,
                IntStream.range(0, nodes).mapToLong(fixture::proxiesHolding).sum());
        int startIndex = fixture.recorded.size();
        fixture.list(INCREMENTAL, state, LONG_AGO, 8).run(3);
        IntStream.range(reconnecting, 2 * reconnecting).forEach(p -> fixture.join(p, 5));
        fixture.run(1.5);
        assertEquals(reconnecting, fixture.recordedSince(startIndex, "subscribe ").size());
        fixture.run(60);
        assertEquals(
                (nodes - 2L) * 2 * reconnecting,
                IntStream.range(0, nodes).mapToLong(fixture::proxiesHolding).sum());
    }

    /**
     * Sending every proxy a table with a fifth of the entries would take 13 s. The smaller partial
     * tables take the channel 5 s, and no more entries are queued than leave the channel within the
     * drain timeout, so that a node that leaves meanwhile is still removed in time.
     */
    @Test
    void partialTablesShrinkWithNumberOfReconnectingProxies() {
        PolicyFixture fixture = withNodesOnly(200);
        fixture.round(0);
        fixture.list(INCREMENTAL, GONE, LONG_AGO, 7).run(0.1);
        IntStream.range(0, 250).forEach(p -> fixture.join(p, 5));
        fixture.run(4.8);
        assertEquals(250, fixture.recordedSince(0, "subscribe ").size());
        assertTrue(fixture.maxQueuedEntries <= 2000, fixture.maxQueuedEntries + " entries queued");
        long usedNodes =
                IntStream.range(0, 200).filter(node -> fixture.proxiesHolding(node) > 0).count();
        assertTrue(usedNodes >= 100, usedNodes + " nodes used by all shards together");
    }

    /**
     * So many proxies wait that a message to each of them about the departed nodes would exceed the
     * queue limit.
     */
    @ParameterizedTest
    @CsvSource({"100, 3000", "140, 2000", "60, 900"})
    void departuresWhileManyProxiesWaitDoNotFillQueue(int reconnecting, double queueLimit) {
        PolicyFixture fixture = withSlowChannel(queueLimit, 30);
        fixture.start(100, 4).run(20);
        IntStream.range(4, 4 + reconnecting).forEach(p -> fixture.join(p, 5));
        for (int node = 0; node < 30; node++) {
            fixture.list(INCREMENTAL, GONE, LONG_AGO, node).run(0.1);
        }
        fixture.run(20);
        assertTrue(
                fixture.maxQueuedEntries <= queueLimit,
                fixture.maxQueuedEntries + " entries queued");
        assertEquals(0, IntStream.range(0, 30).mapToLong(fixture::proxiesHolding).sum());
    }

    /**
     * Nodes that left before a controller started are in none of its node lists, but they are in
     * the tables of reconnecting proxies. Recently started nodes indicate that a release is in
     * progress.
     */
    @Test
    void proxiesReconnectingAfterReleaseGetPartialTablesThoughListNamesNoDepartedNode() {
        PolicyFixture fixture = withNodesOnly(100);
        fixture.run(1);
        fixture.list(INCREMENTAL, READY, 99 * PolicyFixture.SECOND, 7).run(0.1);
        IntStream.range(0, 45).forEach(p -> fixture.join(p, 5));
        fixture.run(1.5);
        assertEquals(45, fixture.recordedSince(0, "subscribe ").size());
        assertTrue(fixture.maxQueuedEntries <= 3500, fixture.maxQueuedEntries + " entries queued");
        fixture.run(30);
        assertEquals(4500, IntStream.range(0, 100).mapToLong(fixture::proxiesHolding).sum());
    }

    /**
     * Full size: 110 nodes, up to 150 proxies. The nodes of a site leave one by one and return
     * cold.
     */
    @ParameterizedTest
    @CsvSource({"50, 3400, 30", "100, 3400, 30", "150, 4900, 20", "31, 1100, 30"})
    void successiveDeparturesStayWithinQueueAndMessageLimits(
            int proxies, double queueLimit, int messageLimit) {
        PolicyFixture fixture = withSlowChannel(queueLimit, messageLimit);
        fixture.start(110, proxies).run(20);
        for (int node = 0; node < 36; node++) {
            fixture.list(INCREMENTAL, GONE, LONG_AGO, node).run(0.2);
        }
        fixture.run(4);
        assertTrue(
                fixture.maxQueuedEntries <= queueLimit,
                fixture.maxQueuedEntries + " entries queued");
        assertTrue(
                fixture.maxMessages <= messageLimit,
                fixture.maxMessages + " messages to one proxy");
        assertEquals(
                0,
                IntStream.range(0, 36).mapToLong(fixture::proxiesHolding).sum(),
                "entries held for departed nodes");
        fixture.list(
                        INCREMENTAL,
                        READY,
                        126 * PolicyFixture.SECOND,
                        IntStream.range(0, 36).toArray())
                .run(30);
        assertEquals(
                36L * proxies,
                IntStream.range(0, 36).mapToLong(fixture::proxiesHolding).sum(),
                "entries held for returned nodes");
    }

    /** A controller takes over the proxies of another controller while nodes leave. */
    @ParameterizedTest
    @CsvSource({"75, 75, 4900, 20", "50, 50, 3400, 30", "15, 16, 1100, 30"})
    void simultaneousReconnectsStayWithinQueueAndMessageLimits(
            int proxies, int reconnecting, double queueLimit, int messageLimit) {
        PolicyFixture fixture = withSlowChannel(queueLimit, messageLimit);
        fixture.start(110, proxies).run(20);
        IntStream.range(proxies, proxies + reconnecting).forEach(p -> fixture.join(p, 5));
        for (int node = 0; node < 10; node++) {
            fixture.list(INCREMENTAL, GONE, LONG_AGO, node).run(0.3);
        }
        fixture.run(20);
        assertTrue(
                fixture.maxQueuedEntries <= queueLimit,
                fixture.maxQueuedEntries + " entries queued");
        assertTrue(
                fixture.maxMessages <= messageLimit,
                fixture.maxMessages + " messages to one proxy");
        assertEquals(
                100L * (proxies + reconnecting),
                IntStream.range(10, 110).mapToLong(fixture::proxiesHolding).sum());
        assertEquals(0, IntStream.range(0, 10).mapToLong(fixture::proxiesHolding).sum());
    }
}
