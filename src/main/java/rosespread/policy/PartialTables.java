package rosespread.policy;

import java.util.Set;
import java.util.TreeSet;
import rosespread.api.NodeId;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/** Writes tables with a part of their entries while no proxy follows them, so that it is free. */
final class PartialTables {
    /** The least entries of a part: fewer nodes could not bear what a proxy sends. */
    static final int MIN_ENTRIES = 8;

    private final ShardRegistry shards;

    PartialTables(ShardRegistry shards) {
        this.shards = shards;
    }

    /** Writes the tables of all shards without followers again. */
    void writeUnfollowed(RoundContext round) {
        shards.tables().stream()
                .filter(table -> table.shard().withoutFollowers())
                .forEach(table -> write(table, round));
    }

    private void write(ShardTable table, RoundContext round) {
        long parts = Math.max(1, Math.min(table.parts(), table.committed().size() / MIN_ENTRIES));
        Set<NodeId> all = new TreeSet<>(table.delivered().keySet());
        all.addAll(table.committed().keySet());
        int place = shards.shards().indexOf(table.shard());
        for (NodeId id : all) {
            double wanted = table.committed().getOrDefault(id, 0.0);
            double weight = place % parts == 0 ? wanted : 0;
            place++;
            if (table.setDeliveredWeight(id, weight)) {
                round.actions().setWeight(table.id(), id, weight);
            }
        }
        table.invalidatePendingCounts();
    }
}
