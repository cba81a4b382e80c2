package rosespread.policy;

import rosespread.api.NodeId;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Which pending entries of a table can't wait. The counts are asked for many times a round, by each
 * shard of all others, and are kept with the table until something changes.
 */
final class PendingChanges {
    /** The part of its share of all weights that a table keeps when entries are removed. */
    private static final double MIN_DELIVERED_PART = 0.8;

    /** A warming node is held too high from this multiple of its pending weight on. */
    private static final double MAX_WARMING_EXCESS = 1.5;

    private final NodeRegistry nodes;
    private final SlowStart slowStart;

    PendingChanges(NodeRegistry nodes, SlowStart slowStart) {
        this.nodes = nodes;
        this.slowStart = slowStart;
    }

    /** Entries to remove as their nodes are not ready. */
    int removals(ShardTable table, long now) {
        count(table, now);
        return table.pendingRemovals();
    }

    /** Entries that can't wait: removals, warming nodes held too high, what replaces removals. */
    int urgentEntries(ShardTable table, long now) {
        count(table, now);
        return table.urgentEntries();
    }

    /**
     * Whether a delivery does not wait for one in flight: for a node that left, a warming node
     * still held at a higher weight (a restart under an old entry), a table without a ready node,
     * or a limit that falls or is lifted (what was rejected comes back).
     */
    boolean urgent(ShardTable table, long now) {
        return urgentEntries(table, now) > 0
                || table.limitUrgent()
                || table.delivered().keySet().stream().noneMatch(this::ready);
    }

    /** Whether the proxies hold a warming node at a far higher weight than the pending one. */
    boolean warmUpWeightTooHigh(ShardTable table, NodeId id, long now) {
        return slowStart.warmingUp(nodes.find(id), now)
                && table.delivered().getOrDefault(id, 0.0)
                        > MAX_WARMING_EXCESS * table.pending().get(id);
    }

    boolean ready(NodeId id) {
        Node node = nodes.find(id);
        return node.ready();
    }

    private void count(ShardTable table, long now) {
        if (table.pendingCounted()) {
            return;
        }
        int removals = (int) table.pending().keySet().stream().filter(id -> !ready(id)).count();
        int tooHigh =
                (int)
                        table.pending().keySet().stream()
                                .filter(id -> ready(id) && warmUpWeightTooHigh(table, id, now))
                                .count();
        table.countPending(removals, removals + tooHigh + replacements(table));
    }

    /**
     * The entries that must follow removals, so that what is left of a table does not bear what
     * left: guards against warming nodes that stay behind in a partial table and get all of its
     * proxies' requests.
     */
    private int replacements(ShardTable table) {
        double delivered = table.deliveredWeight(this::ready);
        double least = MIN_DELIVERED_PART * table.committedWeight() / table.parts();
        if (table.delivered().isEmpty() || delivered >= least) {
            return 0;
        }
        return table.entriesToGain(least - delivered);
    }
}
