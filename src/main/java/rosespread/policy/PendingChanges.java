package rosespread.policy;

import rosespread.api.NodeId;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Counts the pending entries of a table that are urgent. Each shard reads the counts of all others
 * many times a round, so they are cached in the table until something changes.
 */
final class PendingChanges {
    /** Least fraction of its share of all weights that a table keeps when entries are removed. */
    private static final double MIN_DELIVERED_FRACTION = 0.8;

    /**
     * A delivered weight above this multiple of the pending one is too high for a node that is
     * warming up.
     */
    private static final double MAX_WARM_UP_WEIGHT_MULTIPLE = 1.5;

    private final NodeRegistry nodes;
    private final SlowStart slowStart;

    PendingChanges(NodeRegistry nodes, SlowStart slowStart) {
        this.nodes = nodes;
        this.slowStart = slowStart;
    }

    /** The number of entries to remove because their nodes are not ready. */
    int removals(ShardTable table, long now) {
        count(table, now);
        return table.pendingRemovals();
    }

    /**
     * The number of urgent entries: removals, nodes that are warming up at too high a weight, and
     * entries that replace removed ones.
     */
    int urgentEntries(ShardTable table, long now) {
        count(table, now);
        return table.urgentEntries();
    }

    /**
     * Whether a delivery must not wait for the one in flight. This is so for a node that left; for
     * a node that is warming up but still has a far higher weight, as after a restart under its old
     * entry; for a table without a ready node; and for an admission limit that falls or is lifted,
     * as rejected requests come back.
     */
    boolean urgent(ShardTable table, long now) {
        return urgentEntries(table, now) > 0
                || table.limitUrgent()
                || table.delivered().keySet().stream().noneMatch(this::ready);
    }

    /** Whether a node is warming up and its delivered weight is far above the pending one. */
    boolean warmUpWeightTooHigh(ShardTable table, NodeId id, long now) {
        return slowStart.warmingUp(nodes.find(id), now)
                && table.delivered().getOrDefault(id, 0.0)
                        > MAX_WARM_UP_WEIGHT_MULTIPLE * table.pending().get(id);
    }

    boolean ready(NodeId id) {
        Node node = nodes.find(id);
        return node.ready();
    }

    private void count(ShardTable table, long now) {
        if (table.pendingCountsValid()) {
            return;
        }
        int removals = (int) table.pending().keySet().stream().filter(id -> !ready(id)).count();
        int tooHigh =
                (int)
                        table.pending().keySet().stream()
                                .filter(id -> ready(id) && warmUpWeightTooHigh(table, id, now))
                                .count();
        table.setPendingCounts(removals, removals + tooHigh + replacements(table));
    }

    /**
     * The number of entries that must follow the removals, so that a table's remaining nodes do not
     * take the load of those removed. Without them, nodes that are warming up may be the only ones
     * left in a partial table and get all requests of its proxies.
     */
    private int replacements(ShardTable table) {
        double delivered = table.deliveredWeight(this::ready);
        double minWeight = MIN_DELIVERED_FRACTION * table.committedWeight() / table.parts();
        if (table.delivered().isEmpty() || delivered >= minWeight) {
            return 0;
        }
        return table.entriesToGain(minWeight - delivered);
    }
}
