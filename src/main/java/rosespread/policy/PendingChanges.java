package rosespread.policy;

import rosespread.api.NodeId;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Counts the pending entries of a table that are urgent. Each shard reads the counts of all other
 * shards many times a round, so the counts are cached in the table until they are invalidated.
 */
final class PendingChanges {
    /**
     * Least delivered weight that a table keeps when entries are removed, as a fraction of the
     * table's committed weight divided by its number of parts.
     */
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

    /** The number of pending entries that are removed because their nodes are not ready. */
    int removals(ShardTable table, long now) {
        count(table, now);
        return table.pendingRemovals();
    }

    /**
     * The number of urgent entries: removals, entries of warming nodes whose delivered weight is
     * too high, and entries that replace removed ones.
     */
    int urgentEntries(ShardTable table, long now) {
        count(table, now);
        return table.urgentEntries();
    }

    /**
     * Whether entries besides removals are urgent: those without which the table holds too little
     * weight, or those of warming nodes whose delivered weight is too high.
     */
    boolean urgentBesidesRemovals(ShardTable table, long now) {
        return urgentEntries(table, now) > removals(table, now);
    }

    /**
     * Whether the table's pending delivery is urgent: it must not wait until the delivery in flight
     * is acknowledged. It is urgent if it removes a node that left; if it lowers the far too high
     * weight of a node that is warming up, as after a restart under its old entry; if no delivered
     * entry is of a ready node; or if an admission limit falls or is lifted, as rejected requests
     * are sent again.
     */
    boolean urgent(ShardTable table, long now) {
        return urgentEntries(table, now) > 0 || table.limitUrgent() || withoutReadyNode(table);
    }

    /** Whether no delivered entry is of a ready node, so that its methods cannot be served. */
    boolean withoutReadyNode(ShardTable table) {
        return table.delivered().keySet().stream().noneMatch(this::ready);
    }

    /**
     * Whether a node is warming up and its delivered weight is above {@link
     * #MAX_WARM_UP_WEIGHT_MULTIPLE} times its pending weight.
     */
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
     * The number of entries that must be delivered together with the removals, so that the load of
     * the removed nodes does not shift to the table's few remaining nodes. Without these entries,
     * nodes that are warming up may be the only ones left in a partial table and get all requests
     * of its proxies.
     */
    private int replacements(ShardTable table) {
        double delivered = table.deliveredWeight(this::ready);
        double minWeight = MIN_DELIVERED_FRACTION * table.committedWeight() / table.parts();
        if (delivered >= minWeight) {
            return 0;
        }
        return table.entriesToGain(minWeight - delivered);
    }
}
