package rosespread.policy;

import java.util.List;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/** Estimates the available capacity of the nodes and their load relative to it. */
final class LoadEstimator {
    /** A node above this utilization counts as busy. */
    static final double BUSY_UTILIZATION = 0.8;

    private final NodeRegistry nodes;
    private final ShardRegistry shards;
    private final EligibleNodes eligible;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final CapacityUnits units;

    LoadEstimator(
            NodeRegistry nodes,
            ShardRegistry shards,
            EligibleNodes eligible,
            SlowStart slowStart,
            OutlierDetector outliers,
            CapacityUnits units) {
        this.nodes = nodes;
        this.shards = shards;
        this.eligible = eligible;
        this.slowStart = slowStart;
        this.outliers = outliers;
        this.units = units;
    }

    /** The fraction of a node's capacity that counts in a table, given its warm-up and health. */
    double effectiveRatio(Node node, ShardTable table, long now) {
        return slowStart.warmUpRatio(node, now) * outliers.weightRatio(node, table, now);
    }

    /**
     * The RPCs per second that nodes with a delivered weight entry can answer at present, taken
     * from the table for which this rate is highest; NaN while the capacity unit is unknown. Nodes
     * without an entry do not count, because a few nodes may serve the whole load while the entries
     * of returned nodes wait for a slow channel.
     */
    double availableCapacity(long now) {
        return units.unit()
                * shards.firstTables().stream()
                        .mapToDouble(table -> deliveredCapacity(table, now))
                        .max()
                        .orElse(0);
    }

    private double deliveredCapacity(ShardTable table, long now) {
        List<ShardTable> sameIndexTables =
                shards.tables().stream().filter(t -> t.isCounterpartOf(table)).toList();
        return eligible.of(table, now).stream()
                .filter(node -> sameIndexTables.stream().anyMatch(t -> t.holds(node.id())))
                .mapToDouble(node -> node.capacity() * effectiveRatio(node, table, now))
                .sum();
    }

    /**
     * Ratio of attempts per second to the available capacity; 0 while the capacity unit is unknown.
     */
    double loadRatio(long now) {
        double attempted =
                nodes.all().stream().mapToDouble(node -> node.attemptedPerSecond(now)).sum();
        return units.known() ? attempted / Math.max(availableCapacity(now), 1e-9) : 0;
    }
}
