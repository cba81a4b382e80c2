package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.api.EventHandler.NodeListKind.INCREMENTAL;
import static rosespread.api.EventHandler.NodeState.DRAINING;
import static rosespread.api.EventHandler.NodeState.GONE;
import static rosespread.api.EventHandler.NodeState.READY;
import static rosespread.policy.SettingsBuilder.localMethod;
import static rosespread.policy.SettingsBuilder.method;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests a rolling deploy that replaces all nodes but one, zone by zone, while one method may only
 * be served in the proxy's own zone.
 */
class RollingDeployTest {
    private static final int ZONES = 3;
    private static final int NODES = 30;
    private static final int REPLACED_NODES = 29;
    private static final int BATCH = 2;
    private static final int TENTHS_BETWEEN_BATCHES = 20;
    private static final int TENTHS_UNTIL_GONE = 36;
    private static final int TENTHS_UNTIL_REPLACED = 39;
    private static final int TENTHS_OF_DAY = 550;
    private static final double DRAIN_TIMEOUT_SECONDS = 3.9;

    /** The drain timeout less the maximum propagation delay. */
    private static final int TENTHS_UNTIL_OVERDUE = 35;

    /** Maximum time without an entry while a warm node is listed, 5.5 s, and 0.3 s of tolerance. */
    private static final double MAX_SECONDS_WITHOUT_ENTRY = 5.8;

    private static final int WARM_UP_TENTHS = 170;
    private static final int LOCAL_METHOD = 1;

    private final Map<Integer, Integer> readyAtTenth = new TreeMap<>();
    private final Map<Integer, Integer> leftAtTenth = new TreeMap<>();

    /**
     * Guards against tables of single zones that get removals but no additions while the table of
     * all zones takes the channel's ordinary share in each delivery.
     */
    @ParameterizedTest
    @CsvSource({"39, 1326", "60, 2040", "100, 3400", "150, 5100"})
    void proxiesKeepEntriesOfTheirZoneDuringDeploy(int proxies, double queueLimit) {
        PolicyFixture fixture =
                new PolicyFixture(
                        new SettingsBuilder()
                                .methods(ZONES, method(1), localMethod(2))
                                .queueLimit(queueLimit)
                                .drainTimeout(DRAIN_TIMEOUT_SECONDS)
                                .warmUp(WARM_UP_TENTHS / 10.0, 0.16, 1.5)
                                .propagationDelay(0.4)
                                .build());
        fixture.zones = ZONES;
        fixture.slowChannel = true;
        fixture.start(NODES, proxies).run(30);
        IntStream.range(0, NODES).forEach(node -> readyAtTenth.put(node, -WARM_UP_TENTHS));
        int[] tenthsWithoutEntry = new int[proxies];
        int[] worst = new int[proxies];
        for (int tenth = 0; tenth < TENTHS_OF_DAY; tenth++) {
            listChanges(fixture, tenth);
            reportLoad(fixture, tenth);
            fixture.run(0.1);
            for (int proxy = 0; proxy < proxies; proxy++) {
                boolean bare = hasNoEntryThoughNodeIsWarm(fixture, proxy, tenth);
                tenthsWithoutEntry[proxy] = bare ? tenthsWithoutEntry[proxy] + 1 : 0;
                worst[proxy] = Math.max(worst[proxy], tenthsWithoutEntry[proxy]);
            }
            assertEquals(0, entriesOfOverdueNodes(fixture, tenth), "overdue at " + tenth);
        }
        int worstTenths = IntStream.of(worst).max().orElseThrow();
        long affected = IntStream.of(worst).filter(t -> t > 10 * MAX_SECONDS_WITHOUT_ENTRY).count();
        assertEquals(0, affected, "worst " + worstTenths / 10.0 + " s without an entry");
        assertTrue(
                fixture.maxQueuedEntries <= queueLimit,
                fixture.maxQueuedEntries + " entries queued");
    }

    private void listChanges(PolicyFixture fixture, int tenth) {
        for (int i = 0; i < REPLACED_NODES; i++) {
            int node = i % 10 * ZONES + i / 10;
            int start = i / BATCH * TENTHS_BETWEEN_BATCHES;
            if (tenth == start) {
                fixture.list(INCREMENTAL, DRAINING, Long.MIN_VALUE, node);
                readyAtTenth.remove(node);
                leftAtTenth.put(node, tenth);
            } else if (tenth == start + TENTHS_UNTIL_GONE) {
                fixture.list(INCREMENTAL, GONE, Long.MIN_VALUE, node);
            } else if (tenth == start + TENTHS_UNTIL_REPLACED) {
                fixture.list(INCREMENTAL, READY, fixture.now(), node + NODES);
                readyAtTenth.put(node + NODES, tenth);
            }
        }
    }

    /** Reports a load that varies from second to second, so that weights change all the time. */
    private void reportLoad(PolicyFixture fixture, int tenth) {
        for (int node : readyAtTenth.keySet()) {
            if ((tenth + node) % 5 == 0) {
                int attempts = 8 + (tenth * 7 + node * 13) % 9;
                fixture.loadReport(node, attempts, 0, 0.3 + (tenth * 3 + node * 5) % 8 / 20.0);
            }
        }
    }

    private boolean hasNoEntryThoughNodeIsWarm(PolicyFixture fixture, int proxy, int tenth) {
        boolean warmNode =
                readyAtTenth.entrySet().stream()
                        .anyMatch(
                                node ->
                                        node.getKey() % ZONES == proxy % ZONES
                                                && tenth - node.getValue() >= WARM_UP_TENTHS);
        return warmNode
                && fixture.nodesHeld(proxy, LOCAL_METHOD).stream()
                        .noneMatch(readyAtTenth::containsKey);
    }

    /** The entries of nodes that left longer ago than the drain timeout less the propagation. */
    private long entriesOfOverdueNodes(PolicyFixture fixture, int tenth) {
        return leftAtTenth.entrySet().stream()
                .filter(left -> tenth - left.getValue() > TENTHS_UNTIL_OVERDUE)
                .mapToLong(left -> fixture.proxiesHolding(left.getKey()))
                .sum();
    }
}
