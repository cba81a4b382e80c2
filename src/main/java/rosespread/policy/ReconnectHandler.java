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
 * Handles mass reconnects. Reconnecting proxies bring tables from another controller, and recently
 * departed nodes stay in those tables until the proxies are subscribed here. If full tables for all
 * waiting proxies would occupy the channel for more than half a drain timeout, the proxies are
 * assigned to shards with partial tables, each with a different subset of the entries; the
 * remaining entries are sent later in ordinary deliveries. Partial tables prevent requests to
 * departed nodes when a whole fleet of proxies reconnects. Partial tables do harm if the nodes of
 * one part are slow.
 */
final class ReconnectHandler {
    /**
     * Number of drain timeouts during which proxies may hold a departed node, and during which a
     * newly started node indicates a release in progress.
     */
    private static final long RECENT_DRAIN_TIMEOUTS = 2;

    /** Maximum number of parts into which the entries are split for partial tables. */
    private static final int MAX_PARTS = 25;

    /**
     * Size of a partial table as a fraction of the entries per waiting proxy that the channel can
     * send within half a drain timeout, as more proxies may be about to connect.
     */
    private static final double PARTIAL_SHARE = 0.5;

    /**
     * A shard with followers may accept waiting proxies if it has at most this multiple of the
     * entries of a partial table.
     */
    private static final double MAX_PARTIAL_SIZE_RATIO = 1.5;

    private final PolicySettings settings;
    private final NodeRegistry nodes;
    private final ProxyRegistry proxies;
    private final ShardRegistry shards;
    private final EligibleNodes eligible;
    private final DepartedNodes departed;
    private final ChannelBudget budget;
    private final ShardAssigner assigner;
    private boolean inProgress;
    private boolean nodesChangedRecently;

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
     * Whether the proxy is not subscribed, may have entries of departed nodes and has waited more
     * than a third of a drain timeout. If no node has started or left within the last {@link
     * #RECENT_DRAIN_TIMEOUTS} drain timeouts, there is no urgency and no proxy is overdue.
     */
    boolean overdue(Proxy proxy, long now) {
        return nodesChangedRecently
                && !proxy.subscribed()
                && now - proxy.waitingSince() > budget.maxRemovalWaitNanos();
    }

    /**
     * Determines whether a mass reconnect is in progress, assigns the waiting proxies to shards
     * with partial tables, and sets the number of parts of each table.
     */
    void evaluate(long now) {
        nodesChangedRecently = nodesChangedRecently(now);
        if (nodesChangedRecently) {
            endSubscriptionsWithTooManyRemovals(now);
        }
        int fullTableEntries =
                shards.firstTables().stream()
                        .mapToInt(table -> eligible.of(table, now).size())
                        .sum();
        List<Proxy> waiting = proxies.unsubscribed();
        double entriesPerProxy =
                (budget.entriesWithinHalfDrainTimeout() - budget.queuedEntries())
                                / Math.max(1, waiting.size())
                        - budget.messageOverhead();
        inProgress =
                !waiting.isEmpty() && entriesPerProxy < fullTableEntries && nodesChangedRecently;
        double targetEntries = Math.max(PartialTables.MIN_ENTRIES, PARTIAL_SHARE * entriesPerProxy);
        int parts = (int) Math.max(1, Math.min(MAX_PARTS, fullTableEntries / targetEntries));
        if (inProgress) {
            assignToPartialShards(waiting, fullTableEntries, parts, now);
        }
        for (ShardTable table : shards.tables()) {
            if (inProgress && table.shard().withoutFollowers()) {
                table.splitInto(parts);
            } else if (table.pending().isEmpty()) {
                table.splitInto(1);
            }
        }
    }

    private boolean nodesChangedRecently(long now) {
        long cutoff = now - RECENT_DRAIN_TIMEOUTS * settings.drainTimeoutNanos();
        return nodes.all().stream()
                .anyMatch(
                        node ->
                                node.startedAt() > cutoff
                                        || !node.ready() && node.leftAt() > cutoff);
    }

    /**
     * Distributes the proxies over as many shards as there are parts. With fewer shards, some parts
     * would be in no table, and their nodes would be idle while the other nodes serve the whole
     * load. A shard with partial tables accepts proxies until it has its share: the number of
     * proxies divided by the number of parts. Otherwise the remaining proxies would need a new
     * shard after each small batch of subscribed proxies, and the work of a round grows with the
     * number of shards. A shard whose followers still have entries of departed nodes accepts no
     * more proxies.
     */
    private void assignToPartialShards(
            List<Proxy> waiting, int fullTableEntries, int parts, long now) {
        int minEntries = PartialTables.MIN_ENTRIES * shards.firstTables().size();
        double maxEntries =
                MAX_PARTIAL_SIZE_RATIO * Math.max(minEntries, (double) fullTableEntries / parts);
        Set<ProxyShard> partial = new HashSet<>(shards.shards());
        partial.removeIf(shard -> !acceptsWaitingProxies(shard, maxEntries));
        long proxyCount =
                proxies.all().stream()
                        .filter(proxy -> !proxy.subscribed() || partial.contains(proxy.shard()))
                        .count();
        long share = (proxyCount + parts - 1) / parts;
        for (Proxy proxy : waiting) {
            if (!partial.contains(proxy.shard()) || proxy.shard().size() > share) {
                proxy.moveTo(
                        assigner.shardToJoin(
                                shard -> partial.contains(shard) && shard.size() < share, now));
                partial.add(proxy.shard());
            }
        }
    }

    private boolean acceptsWaitingProxies(ProxyShard shard, double maxEntries) {
        return shard.withoutFollowers()
                || shard.deliveredEntries() <= maxEntries
                        && departed.deliveredTo(shard).findAny().isEmpty();
    }

    /**
     * Ends the subscriptions of shards that hold too many departed nodes if the channel cannot send
     * all removals within half a drain timeout; their proxies are then subscribed in other shards.
     * A shard holds too many if its entries of departed nodes outnumber the minimum entries of a
     * partial table. The new subscriptions prevent late removals when a release replaces most nodes
     * within one drain timeout.
     */
    private void endSubscriptionsWithTooManyRemovals(long now) {
        Map<ProxyShard, Long> removals = new LinkedHashMap<>();
        shards.shards().stream()
                .filter(shard -> !shard.withoutFollowers() && !shard.abandoned())
                .forEach(shard -> removals.put(shard, departed.deliveredTo(shard).count()));
        removals.values().removeIf(entries -> entries == 0);
        double removalEntries =
                removals.entrySet().stream()
                        .mapToDouble(
                                entry ->
                                        entry.getKey().followers()
                                                * (entry.getValue() + budget.messageOverhead()))
                        .sum();
        if (budget.queuedEntries() + removalEntries < budget.entriesWithinHalfDrainTimeout()) {
            return;
        }
        removals.forEach(
                (shard, entries) -> {
                    if (entries > PartialTables.MIN_ENTRIES) {
                        List.copyOf(shard.members())
                                .forEach(proxy -> moveToUnfollowedShard(proxy, now));
                        shard.tables().forEach(ShardTable::closeDelivery);
                    }
                });
    }

    /**
     * Ends the proxy's subscription and moves it to a shard without followers. The proxy receives
     * the updates of its former shard's tables until it is subscribed in the new shard.
     */
    private void moveToUnfollowedShard(Proxy proxy, long now) {
        proxy.endSubscription(departed.earliestDeparture(proxy.shard(), now));
        proxy.moveTo(assigner.shardToJoin(ProxyShard::withoutFollowers, now));
    }
}
