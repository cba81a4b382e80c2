package rosespread.policy;

import java.util.Comparator;
import java.util.function.Predicate;
import rosespread.api.PolicySettings;
import rosespread.policy.state.ProxyShard;
import rosespread.policy.state.ShardRegistry;

/**
 * Which shard a proxy joins. Guards against a fleet so large that half the queue has no room for
 * one delivery to all: each shard's deliveries leave for themselves. Small fleets are one shard.
 */
final class ShardAssigner {
    /** The least size at which a shard counts as full, as each costs a look at all nodes. */
    private static final double MIN_FULL_SIZE = 8;

    private final PolicySettings settings;
    private final ShardRegistry shards;
    private final EligibleNodes eligible;
    private final ChannelBudget budget;
    private final RoundTriggers triggers;

    ShardAssigner(
            PolicySettings settings,
            ShardRegistry shards,
            EligibleNodes eligible,
            ChannelBudget budget,
            RoundTriggers triggers) {
        this.settings = settings;
        this.shards = shards;
        this.eligible = eligible;
        this.budget = budget;
        this.triggers = triggers;
    }

    /**
     * The smallest of these shards; a new one once all are so large that a delivery of every entry
     * would not fit.
     */
    ProxyShard shardToJoin(Predicate<ProxyShard> candidates, long now) {
        double entries =
                budget.messageOverhead()
                        + shards.firstTables().stream()
                                .mapToInt(table -> eligible.of(table, now).size())
                                .sum();
        double most =
                Math.max(
                        MIN_FULL_SIZE,
                        ChannelBudget.ORDINARY_SHARE * settings.queueLimitEntries() / entries);
        return shards.shards().stream()
                .filter(shard -> shard.size() + 1 <= most)
                .filter(shard -> !shard.abandoned() && candidates.test(shard))
                .min(Comparator.comparingInt(ProxyShard::size))
                .orElseGet(this::addShard);
    }

    private ProxyShard addShard() {
        triggers.requirePlan();
        return shards.addShard();
    }
}
