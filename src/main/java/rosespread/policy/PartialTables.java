package rosespread.policy;

import java.util.Set;
import java.util.TreeSet;
import rosespread.api.NodeId;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Writes partial tables: each contains only a part of the committed entries. Only tables whose
 * updates no proxy receives are written, so that writing uses no channel capacity.
 */
final class PartialTables {
    /**
     * Least number of entries in a partial table; fewer nodes could not serve the load of a proxy.
     */
    static final int MIN_ENTRIES = 8;

    private final ShardRegistry shards;

    PartialTables(ShardRegistry shards) {
        this.shards = shards;
    }

    /**
     * Rewrites the tables of all shards without followers, that is, without proxies that receive
     * the updates of the shard's tables.
     */
    void rewriteTablesWithoutFollowers(RoundContext round) {
        shards.tables().stream()
                .filter(table -> table.shard().withoutFollowers())
                .forEach(table -> write(table, round));
    }

    private void write(ShardTable table, RoundContext round) {
        long parts = Math.max(1, Math.min(table.parts(), table.committed().size() / MIN_ENTRIES));
        Set<NodeId> all = new TreeSet<>(table.delivered().keySet());
        all.addAll(table.committed().keySet());
        int position = shards.shards().indexOf(table.shard());
        for (NodeId id : all) {
            double committedWeight = table.committed().getOrDefault(id, 0.0);
            double weight = position % parts == 0 ? committedWeight : 0;
            position++;
            if (table.setDeliveredWeight(id, weight)) {
                round.actions().setWeight(table.id(), id, weight);
            }
        }
        table.invalidatePendingCounts();
    }
}
