package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.api.EventHandler.NodeListKind.CACHED;
import static rosespread.api.EventHandler.NodeListKind.INCREMENTAL;
import static rosespread.api.EventHandler.NodeState.GONE;
import static rosespread.api.EventHandler.NodeState.READY;
import static rosespread.policy.SettingsBuilder.localMethod;
import static rosespread.policy.SettingsBuilder.method;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests the tables of a method that only nodes in the proxy's own zone may serve. */
class ZoneTablesTest {
    private static final long LONG_AGO = Long.MIN_VALUE;
    private static final int ZONES = 3;
    private static final int LOST_ZONE = 2;
    private static final int NODES = 15;
    private static final int PROXIES = 9;
    private static final int ANY_ZONE_METHOD = 0;
    private static final int LOCAL_METHOD = 1;

    private final PolicyFixture fixture = fixtureOf(NODES);

    private static PolicyFixture fixtureOf(int nodes) {
        PolicyFixture fixture =
                new PolicyFixture(
                        new SettingsBuilder()
                                .methods(ZONES, method(1), localMethod(2))
                                .queueLimit(1200)
                                .build());
        fixture.zones = ZONES;
        fixture.slowChannel = true;
        return fixture.start(nodes, PROXIES);
    }

    private static int[] inLostZone(int count) {
        return IntStream.range(0, count).filter(id -> id % ZONES == LOST_ZONE).toArray();
    }

    private static Set<Integer> set(int[] numbers) {
        return IntStream.of(numbers).boxed().collect(Collectors.toSet());
    }

    private void rejoin(int[] proxies) {
        for (int proxy : proxies) {
            fixture.leave(proxy).join(proxy, 10);
        }
    }

    /**
     * Guards against a proxy that joins while its zone has no node and then never gets the nodes
     * that return, as it was counted as subscribed to a table that it was not given.
     */
    @Test
    void proxyThatJoinsWhileItsZoneIsLostGetsNodesThatReturn() {
        fixture.list(INCREMENTAL, GONE, LONG_AGO, inLostZone(NODES)).run(4);
        rejoin(inLostZone(PROXIES));
        fixture.run(2);
        fixture.list(INCREMENTAL, READY, LONG_AGO, inLostZone(NODES)).run(4);
        for (int proxy : inLostZone(PROXIES)) {
            assertEquals(set(inLostZone(NODES)), fixture.nodesHeld(proxy, LOCAL_METHOD));
        }
    }

    /**
     * Guards against a proxy that keeps the entries of departed nodes from an earlier stream: the
     * full table without entries must be sent within the drain timeout.
     */
    @Test
    void proxyThatJoinsAfterItsZoneWasLostIsSentTableWithoutEntries() {
        fixture.list(INCREMENTAL, GONE, LONG_AGO, inLostZone(NODES)).run(4);
        int startIndex = fixture.recorded.size();
        rejoin(inLostZone(PROXIES));
        fixture.run(1.5);
        List<String> subscriptions = fixture.recordedSince(startIndex, "subscribe ");
        assertEquals(2 * inLostZone(PROXIES).length, subscriptions.size(), subscriptions::toString);
    }

    /** Guards against proxies that keep all entries of departed nodes if no node is left at all. */
    @Test
    void proxyThatJoinsAfterAllNodesWereLostIsSentTablesWithoutEntries() {
        int[] all = IntStream.range(0, NODES).toArray();
        fixture.list(INCREMENTAL, GONE, LONG_AGO, all).run(4);
        int startIndex = fixture.recorded.size();
        rejoin(new int[] {LOST_ZONE});
        fixture.run(1.5);
        assertEquals(2, fixture.recordedSince(startIndex, "subscribe ").size());
        fixture.list(INCREMENTAL, READY, LONG_AGO, all).run(6);
        assertEquals(set(all), fixture.nodesHeld(LOST_ZONE, ANY_ZONE_METHOD));
        assertEquals(set(inLostZone(NODES)), fixture.nodesHeld(LOST_ZONE, LOCAL_METHOD));
    }

    /** A controller that knows no node must leave the tables that proxies bring untouched. */
    @Test
    void proxyWaitsWhileNoNodeWasEverListed() {
        PolicyFixture empty = fixtureOf(0);
        empty.run(5);
        assertEquals(List.of(), empty.recordedSince(0, "subscribe "));
        empty.list(CACHED, READY, LONG_AGO, IntStream.range(0, NODES).toArray()).run(5);
        assertEquals(2 * PROXIES, empty.recordedSince(0, "subscribe ").size());
    }

    /**
     * Guards against the nodes of a returning zone being sent to all its proxies regardless of the
     * queue limit: 20 proxies with an empty table, 100 entries each, while another proxy joins.
     */
    @Test
    void returningZoneStaysWithinQueueLimitWhileProxyJoins() {
        PolicyFixture large = fixtureOf(300);
        IntStream.range(PROXIES, 60).forEach(proxy -> large.join(proxy, 10));
        large.run(60);
        large.list(INCREMENTAL, GONE, LONG_AGO, inLostZone(300)).run(20);
        large.maxQueuedEntries = 0;
        large.list(INCREMENTAL, READY, LONG_AGO, inLostZone(300)).join(60, 10).run(20);
        assertTrue(large.maxQueuedEntries <= 1200, large.maxQueuedEntries + " entries queued");
    }
}
