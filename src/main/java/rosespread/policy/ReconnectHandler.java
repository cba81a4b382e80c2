package rosespread.policy;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import rosespread.api.PolicySettings;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ProxyShard;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Mass reconnects. Proxies bring tables of another controller, and keep what left lately in them
 * until they are subscribed. Where full tables for all that wait take over half a drain timeout,
 * the proxies gather in shards whose tables are partial, each with other entries; the rest follows
 * as ordinary deliveries. Guards against requests to nodes that left when a whole fleet of proxies
 * comes; it does harm where a part's nodes are slow.
 */
final class ReconnectHandler {
    /** Drain timeouts for which a gone node may be held, or a young one tells of a release. */
    private static final long RECENT_DRAIN_TIMEOUTS = 2;

    /** The most parts that the entries of partial tables are dealt in. */
    private static final int MAX_PARTS = 25;

    /**
     * The part that partial tables take of the entries that would fit: more proxies may be about to
     * come.
     */
    private static final double PARTIAL_SHARE = 0.5;

    /** A shard is partial while it has at most so many times the entries of a partial table. */
    private static final double PARTIAL_BAND = 1.5;

    private final PolicySettings settings;
    private final NodeRegistry nodes;
    private final ProxyRegistry proxies;
    private final ShardRegistry shards;
    private final EligibleNodes eligible;
    private final DepartedNodes departed;
    private final ChannelBudget budget;
    private final ShardAssigner assigner;
    private boolean inProgress;
    private boolean nodesChangedLately;

    ReconnectHandler(
            PolicySettings settings,
            NodeRegistry nodes,
            ProxyRegistry proxies,
            ShardRegistry shards,
            EligibleNodes eligible,
            DepartedNodes departed,
            ChannelBudget budget,
            ShardAssigner assigner) {
        this.settings = settings;
        this.nodes = nodes;
        this.proxies = proxies;
        this.shards = shards;
        this.eligible = eligible;
        this.departed = departed;
        this.budget = budget;
        this.assigner = assigner;
    }

    /** Whether a mass reconnect is in progress. */
    boolean inProgress() {
        return inProgress;
    }

    /**
     * Whether the proxy may hold what left, and has waited a third of its drain timeout: while no
     * node comes or goes there is no haste.
     */
    boolean overdue(Proxy proxy, long now) {
        return nodesChangedLately
                && !proxy.subscribed()
                && now - proxy.waitingSince() > budget.maxRemovalWaitNanos();
    }

    /** Sees whether a mass reconnect is in progress, and gathers its proxies in partial shards. */
    void gather(long now) {
        nodesChangedLately = nodesChangedLately(now);
        if (nodesChangedLately) {
            releaseWhatCannotBeRemoved(now);
        }
        int full =
                shards.firstTables().stream()
                        .mapToInt(table -> eligible.of(table, now).size())
                        .sum();
        List<Proxy> waiting = proxies.unsubscribed();
        double entriesEach =
                (budget.entriesWithinHalfDrainTimeout() - budget.queuedEntries())
                                / Math.max(1, waiting.size())
                        - budget.messageOverhead();
        inProgress = !waiting.isEmpty() && entriesEach < full && nodesChangedLately;
        double wantedEntries = Math.max(PartialTables.MIN_ENTRIES, PARTIAL_SHARE * entriesEach);
        int parts = (int) Math.max(1, Math.min(MAX_PARTS, full / wantedEntries));
        if (inProgress) {
            gatherInPartialShards(waiting, full, parts, now);
        }
        for (ShardTable table : shards.tables()) {
            if (inProgress && table.shard().withoutFollowers()) {
                table.splitInto(parts);
            } else if (table.pending().isEmpty()) {
                table.splitInto(1);
            }
        }
    }

    private boolean nodesChangedLately(long now) {
        long lately = now - RECENT_DRAIN_TIMEOUTS * settings.drainTimeoutNanos();
        return nodes.all().stream()
                .anyMatch(
                        node ->
                                node.startedAt() > lately
                                        || !node.ready() && node.leftAt() > lately);
    }

    /**
     * As many shards as there are parts share the proxies: guards against parts that no shard has,
     * whose nodes would stand idle while the others bear all. A partial shard takes more until it
     * is full: else each few that are subscribed would leave the rest a new shard, and rounds grow
     * with shards. One that still holds what left takes no more.
     */
    private void gatherInPartialShards(List<Proxy> waiting, int full, int parts, long now) {
        int leastEntries = PartialTables.MIN_ENTRIES * shards.firstTables().size();
        double mostEntries = PARTIAL_BAND * Math.max(leastEntries, (double) full / parts);
        Set<ProxyShard> partial = new HashSet<>(shards.shards());
        partial.removeIf(shard -> !takesWaiting(shard, mostEntries));
        long gathered =
                proxies.all().stream()
                        .filter(proxy -> !proxy.subscribed() || partial.contains(proxy.shard()))
                        .count();
        long share = (gathered + parts - 1) / parts;
        for (Proxy proxy : waiting) {
            if (!partial.contains(proxy.shard()) || proxy.shard().size() > share) {
                proxy.moveTo(
                        assigner.shardToJoin(
                                shard -> partial.contains(shard) && shard.size() < share, now));
                partial.add(proxy.shard());
            }
        }
    }

    private boolean takesWaiting(ProxyShard shard, double mostEntries) {
        return shard.withoutFollowers()
                || shard.deliveredEntries() <= mostEntries
                        && departed.heldBy(shard).findAny().isEmpty();
    }

    /**
     * Shards that hold more of what left than a partial table has entries are subscribed again,
     * where the channel can't take all removals within half a drain timeout: guards against a
     * release of most nodes within one.
     */
    private void releaseWhatCannotBeRemoved(long now) {
        Map<ProxyShard, Long> removals = new LinkedHashMap<>();
        shards.shards().stream()
                .filter(shard -> !shard.withoutFollowers() && !shard.abandoned())
                .forEach(shard -> removals.put(shard, departed.heldBy(shard).count()));
        removals.values().removeIf(entries -> entries == 0);
        double all =
                removals.entrySet().stream()
                        .mapToDouble(
                                entry ->
                                        entry.getKey().followers()
                                                * (entry.getValue() + budget.messageOverhead()))
                        .sum();
        if (budget.queuedEntries() + all < budget.entriesWithinHalfDrainTimeout()) {
            return;
        }
        removals.forEach(
                (shard, entries) -> {
                    if (entries > PartialTables.MIN_ENTRIES) {
                        List.copyOf(shard.members()).forEach(proxy -> release(proxy, now));
                        shard.tables().forEach(ShardTable::closeDelivery);
                    }
                });
    }

    /** It follows its former shard's tables until it is subscribed in another. */
    private void release(Proxy proxy, long now) {
        proxy.endSubscription(departed.earliestDeparture(proxy.shard(), now));
        proxy.moveTo(assigner.shardToJoin(ProxyShard::withoutFollowers, now));
    }
}
