package rosespread.policy;

import java.util.Comparator;
import java.util.function.Predicate;
import rosespread.api.PolicySettings;
import rosespread.policy.state.ProxyShard;
import rosespread.policy.state.ShardRegistry;

/**
 * Selects the shard that a proxy joins. In a large fleet, one delivery to all proxies does not fit
 * in half the queue limit; each shard's deliveries are therefore sent separately. A small fleet has
 * one shard.
 */
final class ShardAssigner {
    /**
     * Number of proxies below which no shard counts as full. Smaller shards would mean more of
     * them, and each shard costs a pass over all nodes.
     */
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
     * Returns the smallest of the candidate shards, or a new shard if all of them are so large that
     * a delivery of every entry would not fit in half the queue limit with one more proxy.
     */
    ProxyShard shardToJoin(Predicate<ProxyShard> candidates, long now) {
        double entries =
                budget.messageOverhead()
                        + shards.firstTables().stream()
                                .mapToInt(table -> eligible.of(table, now).size())
                                .sum();
        double maxSize =
                Math.max(
                        MIN_FULL_SIZE,
                        ChannelBudget.ORDINARY_SHARE * settings.queueLimitEntries() / entries);
        return shards.shards().stream()
                .filter(shard -> shard.size() + 1 <= maxSize)
                .filter(shard -> !shard.abandoned() && candidates.test(shard))
                .min(Comparator.comparingInt(ProxyShard::size))
                .orElseGet(this::addShard);
    }

    private ProxyShard addShard() {
        triggers.requirePlan();
        return shards.addShard();
    }
}
