package rosespread.policy;

import java.util.List;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/** How much the nodes can do by now, and how much of that is asked of them. */
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

    /** The part of its capacity that warm-up and health leave a node in a table. */
    double effectiveRatio(Node node, ShardTable table, long now) {
        return slowStart.warmUpRatio(node, now) * outliers.weightRatio(node, table, now);
    }

    /**
     * RPCs a second that nodes with a weight entry can do by now, in the widest table; NaN before
     * anything was reported. Guards against few nodes that carry all while the entries of returned
     * ones wait for a slow channel.
     */
    double availableCapacity(long now) {
        return units.unit()
                * shards.firstTables().stream()
                        .mapToDouble(table -> deliveredCapacity(table, now))
                        .max()
                        .orElse(0);
    }

    private double deliveredCapacity(ShardTable table, long now) {
        List<ShardTable> like =
                shards.tables().stream().filter(t -> t.isCounterpartOf(table)).toList();
        return eligible.of(table, now).stream()
                .filter(node -> like.stream().anyMatch(t -> t.holds(node.id())))
                .mapToDouble(node -> node.capacity() * effectiveRatio(node, table, now))
                .sum();
    }

    /** Attempts a second against the available capacity; 0 before anything was reported. */
    double loadRatio(long now) {
        double attempted =
                nodes.all().stream().mapToDouble(node -> node.attemptedPerSecond(now)).sum();
        return units.known() ? attempted / Math.max(availableCapacity(now), 1e-9) : 0;
    }
}
