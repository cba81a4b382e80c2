package rosespread.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import rosespread.api.PolicySettings;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Sends full tables to proxies that joined or did not acknowledge within the timeout: first to
 * those without a subscription, as the others may be silent; among these to those with the highest
 * usual rate first. Proxies that have waited for a third of a drain timeout are served before all
 * others, so that a node that left does not stay too long in the tables that these proxies have
 * from another controller.
 */
final class ProxySubscriber {
    /** Fraction of the queue limit and of the message limit that full tables may use. */
    private static final double FULL_TABLE_SHARE = 0.8;

    /** Fraction of the queue limit that full tables may use while a delivery or a removal waits. */
    private static final double SHARE_BESIDE_DELIVERIES = 0.35;

    /**
     * Limit of the queue for full tables, as the time in which the channel sends the queued
     * entries; further full tables are not written until the queue is shorter.
     */
    private static final long MAX_QUEUE_NANOS = TimeUnits.SECOND / 2;

    private final PolicySettings settings;
    private final ProxyRegistry proxies;
    private final ShardRegistry shards;
    private final PendingChanges changes;
    private final ChannelBudget budget;
    private final OutgoingRound outgoing;
    private final ReconnectHandler reconnects;
    private final PartialTables partialTables;
    private final TableUpdateSender sender;

    ProxySubscriber(
            PolicySettings settings,
            ProxyRegistry proxies,
            ShardRegistry shards,
            PendingChanges changes,
            ChannelBudget budget,
            OutgoingRound outgoing,
            ReconnectHandler reconnects,
            TableUpdateSender sender) {
        this.settings = settings;
        this.proxies = proxies;
        this.shards = shards;
        this.changes = changes;
        this.budget = budget;
        this.outgoing = outgoing;
        this.reconnects = reconnects;
        this.partialTables = new PartialTables(shards);
        this.sender = sender;
    }

    /** Subscribes the proxies that need full tables, as far as the channel budget allows. */
    void subscribeWaiting(RoundContext round) {
        long now = round.now();
        List<Proxy> waiting = waitingProxies(now);
        double share = fullTableShare(round);
        if (reconnects.inProgress()) {
            partialTables.rewriteTablesWithoutFollowers(round);
        }
        if (waiting.isEmpty()) {
            return;
        }
        shards.tables().stream()
                .filter(table -> table.delivered().isEmpty() && table.subscribers().isEmpty())
                .forEach(table -> sender.send(table, Integer.MAX_VALUE, round));
        for (Proxy proxy : waiting) {
            subscribeIfFits(proxy, share, round);
        }
    }

    private List<Proxy> waitingProxies(long now) {
        List<Proxy> waiting =
                new ArrayList<>(proxies.all().stream().filter(Proxy::needsFullTable).toList());
        waiting.sort(
                Comparator.comparing(Proxy::subscribed)
                        .thenComparingLong(proxy -> sortTimeNanos(proxy, now))
                        .thenComparing(proxy -> -proxy.usualRate())
                        .thenComparing(Proxy::id));
        return waiting;
    }

    private long sortTimeNanos(Proxy proxy, long now) {
        return reconnects.inProgress() || reconnects.overdue(proxy, now)
                ? proxy.waitingSince()
                : now;
    }

    /**
     * The fraction of the queue limit that full tables may use; less while deliveries or removals
     * wait.
     */
    private double fullTableShare(RoundContext round) {
        double queueEntries =
                settings.entriesPerSecond()
                        * (MAX_QUEUE_NANOS + settings.maxPropagationDelayNanos() / 2)
                        / TimeUnits.SECOND;
        boolean removals =
                shards.tables().stream()
                        .anyMatch(table -> changes.removals(table, round.now()) > 0);
        boolean deliveryOrRemovalWaiting = removals || round.deliveryWaiting();
        return Math.min(
                deliveryOrRemovalWaiting ? SHARE_BESIDE_DELIVERIES : FULL_TABLE_SHARE,
                queueEntries / settings.queueLimitEntries());
    }

    /**
     * Subscribes the proxy to all of its shard's tables that are for it, also to those without
     * entries: a full table without entries removes what the proxy holds from earlier streams, and
     * the proxy then receives the entries that the table gains.
     */
    private void subscribeIfFits(Proxy proxy, double share, RoundContext round) {
        List<ShardTable> tables =
                proxy.shard().tables().stream().filter(table -> table.isFor(proxy)).toList();
        double entries =
                tables.stream()
                        .mapToDouble(t -> 1 + t.delivered().size() + t.methods().size())
                        .sum();
        double capacity = capacityFor(proxy, share, round.now()) - budget.messageOverhead();
        if (!budget.allowsMessage(proxy, FULL_TABLE_SHARE, round.now()) || capacity < entries) {
            return;
        }
        for (ShardTable table : tables) {
            round.actions().subscribe(proxy.id(), table.methods(), table.id());
        }
        outgoing.add(proxy, entries);
        proxy.subscribe(outgoing.sequence(), round.now());
    }

    private double capacityFor(Proxy proxy, double share, long now) {
        boolean overdue = reconnects.overdue(proxy, now);
        if (reconnects.inProgress()) {
            return overdue
                    ? budget.capacityForRemovals()
                    : budget.capacity(ChannelBudget.URGENT_SHARE);
        }
        return budget.capacity(overdue ? Math.max(share, ChannelBudget.ORDINARY_SHARE) : share);
    }
}
