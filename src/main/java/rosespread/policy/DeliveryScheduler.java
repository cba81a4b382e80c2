package rosespread.policy;

import java.util.Comparator;
import java.util.List;
import rosespread.api.PolicySettings;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ProxyShard;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Sends each table's pending delivery if none is in flight; what does not fit the budget stays
 * pending. All deliveries of a shard leave together, spaced so that message overheads leave the
 * channel to entries: guards against many small changes that fill the queue and use up messages;
 * single changes wait.
 */
final class DeliveryScheduler {
    /** Message overheads that partial tables' entries are worth at least. */
    private static final double MIN_PARTIAL_OVERHEADS = 3;

    private final PolicySettings settings;
    private final ProxyRegistry proxies;
    private final ShardRegistry shards;
    private final PendingChanges changes;
    private final DepartedNodes departed;
    private final ChannelBudget budget;
    private final OutgoingRound outgoing;
    private final DeliveryInterval interval;
    private final ReconnectHandler reconnects;
    private final TableUpdateSender sender;

    DeliveryScheduler(
            PolicySettings settings,
            ProxyRegistry proxies,
            ShardRegistry shards,
            PendingChanges changes,
            DepartedNodes departed,
            ChannelBudget budget,
            OutgoingRound outgoing,
            ReconnectHandler reconnects,
            TableUpdateSender sender) {
        this.settings = settings;
        this.proxies = proxies;
        this.shards = shards;
        this.changes = changes;
        this.departed = departed;
        this.budget = budget;
        this.outgoing = outgoing;
        this.interval = new DeliveryInterval(settings, proxies, budget);
        this.reconnects = reconnects;
        this.sender = sender;
    }

    /** Sends what may leave, the shard first that has waited longest. */
    void deliverPending(RoundContext round) {
        shards.shards().stream()
                .sorted(Comparator.comparingLong(ProxyShard::deliveredAt))
                .toList()
                .forEach(shard -> deliver(shard, round));
    }

    private void deliver(ProxyShard shard, RoundContext round) {
        List<ShardTable> due =
                shard.tables().stream().filter(ShardTable::hasPendingDelivery).toList();
        if (due.isEmpty() || shard.abandoned()) {
            return;
        }
        List<Proxy> subscribed = shard.subscribedMembers();
        if (mayDeliver(shard, due, subscribed, round.now())) {
            for (ShardTable table : due) {
                if (!waitsForOthers(table, subscribed, round.now())) {
                    deliver(table, subscribed, round);
                }
            }
        }
    }

    private boolean mayDeliver(
            ProxyShard shard, List<ShardTable> due, List<Proxy> subscribed, long now) {
        boolean urgent = due.stream().anyMatch(table -> changes.urgent(table, now));
        boolean removals = due.stream().anyMatch(table -> changes.removals(table, now) > 0);
        double ordinaryOrUrgent =
                urgent ? ChannelBudget.URGENT_SHARE : ChannelBudget.ORDINARY_SHARE;
        double share = removals ? ChannelBudget.REMOVAL_SHARE : ordinaryOrUrgent;
        boolean paced = !urgent && due.stream().noneMatch(table -> table.parts() > 1);
        return now - shard.deliveredAt() >= interval.nanos(share, due, subscribed, now)
                && !(paced && now < sender.channelFreeAt())
                && subscribed.stream().allMatch(p -> budget.allowsMessage(p, share, now))
                && !(removals && removalsMustWait(shard, now));
    }

    /**
     * The earlier deadline goes first: removals wait a third of their drain timeout while proxies
     * wait to be subscribed that were there before the nodes left, but not past the time at which
     * they still leave in time behind all that is queued. Guards against later removals that hold
     * up a mass reconnect.
     */
    private boolean removalsMustWait(ProxyShard shard, long now) {
        long departure = departed.earliestDeparture(shard, now);
        double queueNanos =
                (budget.queuedEntries() + budget.propagatingEntries())
                        / settings.entriesPerSecond()
                        * TimeUnits.SECOND;
        long latest =
                (long) (ChannelBudget.REMOVAL_SHARE * settings.drainTimeoutNanos() - queueNanos);
        return reconnects.inProgress()
                && now - departure < Math.min(budget.maxRemovalWaitNanos(), latest)
                && proxies.unsubscribed().stream().anyMatch(p -> p.waitingSince() < departure);
    }

    private boolean waitsForOthers(ShardTable table, List<Proxy> subscribed, long now) {
        boolean reconnect = reconnects.inProgress();
        return (reconnect || table.inFlight()) && !changes.urgent(table, now)
                || reconnect && subscribed.isEmpty();
    }

    private void deliver(ShardTable table, List<Proxy> subscribed, RoundContext round) {
        long now = round.now();
        boolean first = subscribed.stream().noneMatch(outgoing::hasMessageFor);
        double overhead = (first ? budget.messageOverhead() : 0) + table.pendingLimits();
        double users = Math.max(1, table.shard().size());
        int fitting = entriesThatFit(table, overhead, users, now);
        double least = entriesWorthSending(table, overhead, users, now);
        boolean free = subscribed.isEmpty();
        if (free || fitting >= least && fitting + table.pendingLimits() > 0) {
            sender.send(table, free ? Integer.MAX_VALUE : fitting, round);
            table.shard().deliveryStarted(now);
        } else {
            round.deliveryWaits();
        }
    }

    /**
     * Entries that the channel has room for, leaving other shards what their removals take. What is
     * urgent leaves first; while many proxies wait or much is queued, nothing else does.
     */
    private int entriesThatFit(ShardTable table, double overhead, double users, long now) {
        int removals = changes.removals(table, now);
        double reserved = reservedForRemovals(table.shard(), now);
        double forRemovals =
                removals > 0
                        ? budget.capacityForRemovals()
                        : budget.capacity(ChannelBudget.URGENT_SHARE) - reserved;
        double ordinary =
                (budget.capacity(ChannelBudget.ORDINARY_SHARE) - reserved) / users - overhead;
        int fitting =
                (int)
                        Math.floor(
                                Math.max(
                                        ordinary,
                                        Math.min(removals, forRemovals / users - overhead)));
        return (int)
                Math.min(
                        fitting,
                        changes.urgentEntries(table, now) + entriesThatMayFollow(table, fitting));
    }

    private double reservedForRemovals(ProxyShard except, long now) {
        return shards.tables().stream()
                .filter(table -> table.shard() != except && changes.removals(table, now) > 0)
                .mapToDouble(
                        table ->
                                (changes.removals(table, now) + budget.messageOverhead())
                                        * table.subscribers().size())
                .sum();
    }

    /** Entries besides the urgent ones; a partial table's rest follows slowly. */
    private double entriesThatMayFollow(ShardTable table, int fitting) {
        boolean partial = table.parts() > 1;
        if (reconnects.inProgress()
                || partial
                        && budget.queuedEntries()
                                > settings.entriesPerSecond() + budget.propagatingEntries()) {
            return 0;
        }
        return partial
                ? Math.max(
                        MIN_PARTIAL_OVERHEADS * budget.messageOverhead(),
                        settings.entriesPerSecond() / proxies.size())
                : fitting;
    }

    /** Entries below which an ordinary delivery waits, as its message overheads cost too much. */
    private double entriesWorthSending(ShardTable table, double overhead, double users, long now) {
        int removals = changes.removals(table, now);
        if (removals > 0) {
            return Math.min(removals, settings.messageOverheadEntries());
        }
        if (changes.urgent(table, now) || budget.queuedEntries() == 0) {
            return 0;
        }
        double emptyQueue = budget.capacity(ChannelBudget.ORDINARY_SHARE) + budget.queuedEntries();
        double half = (emptyQueue / users - overhead) / 2;
        return Math.min(table.pending().size(), Math.max(settings.messageOverheadEntries(), half));
    }
}
