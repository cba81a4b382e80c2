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
 * Sends each table's pending delivery if none is in flight; entries beyond the channel budget stay
 * pending. All deliveries of a shard are sent together and spaced, so that many small changes do
 * not fill the queue with message overhead or use up the message limit. Therefore even a single
 * small change waits for the next delivery of its shard.
 */
final class DeliveryScheduler {
    /**
     * Lower bound of the number of non-urgent entries allowed in a delivery of a partial table, as
     * a multiple of a message's overhead.
     */
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

    /** Sends the deliveries that are due, starting with the shard that has waited longest. */
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
            for (ShardTable table : inDeliveryOrder(due, round.now())) {
                if (!mustWait(table, subscribed, round.now())) {
                    deliver(table, subscribed, round);
                }
            }
        }
    }

    /**
     * Sorts the tables of a shard: first those with urgent entries besides removals, which have a
     * budget of their own; then those whose last delivery is the oldest. Otherwise a table that
     * changes all the time would take the capacity of the others in each delivery.
     */
    private List<ShardTable> inDeliveryOrder(List<ShardTable> due, long now) {
        return due.stream()
                .sorted(
                        Comparator.comparing(
                                        (ShardTable table) ->
                                                !changes.urgentBesidesRemovals(table, now))
                                .thenComparingLong(ShardTable::deliverySequence))
                .toList();
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
     * Whether the shard's removals wait during a mass reconnect. Removals wait while some
     * unsubscribed proxy has been waiting since before the first of the nodes left: the full tables
     * of that proxy have the earlier deadline, and later removals must not delay them. Removals
     * wait at most a third of the drain timeout after this departure, and only while they can still
     * be sent after the queued entries and take effect within {@link ChannelBudget#REMOVAL_SHARE}
     * of the drain timeout.
     */
    private boolean removalsMustWait(ProxyShard shard, long now) {
        long departure = departed.earliestDeparture(shard, now);
        double queueNanos =
                (budget.queuedEntries() + budget.propagatingEntries())
                        / settings.entriesPerSecond()
                        * TimeUnits.SECOND;
        long maxSafeWaitNanos =
                (long) (ChannelBudget.REMOVAL_SHARE * settings.drainTimeoutNanos() - queueNanos);
        return reconnects.inProgress()
                && now - departure < Math.min(budget.maxRemovalWaitNanos(), maxSafeWaitNanos)
                && proxies.unsubscribed().stream().anyMatch(p -> p.waitingSince() < departure);
    }

    private boolean mustWait(ShardTable table, List<Proxy> subscribed, long now) {
        boolean reconnect = reconnects.inProgress();
        return (reconnect || table.inFlight()) && !changes.urgent(table, now)
                || reconnect && subscribed.isEmpty();
    }

    private void deliver(ShardTable table, List<Proxy> subscribed, RoundContext round) {
        long now = round.now();
        double overhead = newMessageRatio(table) * budget.messageOverhead() + table.pendingLimits();
        double members = Math.max(1, table.shard().members().stream().filter(table::isFor).count());
        int fittingEntries = entriesThatFit(table, overhead, members, now);
        double minEntries = entriesWorthSending(table, overhead, members, now);
        boolean noSubscribers = subscribed.isEmpty();
        if (noSubscribers
                || fittingEntries >= minEntries && fittingEntries + table.pendingLimits() > 0) {
            sender.send(table, noSubscribers ? Integer.MAX_VALUE : fittingEntries, round);
            table.shard().deliveryStarted(now);
        } else {
            round.deliveryWaits();
        }
    }

    /** Fraction of the table's subscribers that this round has not written to yet. */
    private double newMessageRatio(ShardTable table) {
        return table.subscribers().stream()
                .mapToDouble(proxy -> outgoing.hasMessageFor(proxy) ? 0 : 1)
                .average()
                .orElse(1);
    }

    /**
     * The number of pending entries that the channel has room for, with capacity reserved for
     * removals of other shards. Urgent entries are sent first; those of a table without a ready
     * node may use {@link ChannelBudget#URGENT_SHARE}. Only urgent entries are sent during a mass
     * reconnect and, from a partial table, while more entries are unacknowledged than the channel
     * sends in one second plus the maximum propagation delay.
     */
    private int entriesThatFit(ShardTable table, double overhead, double members, long now) {
        int urgent = changes.urgentEntries(table, now);
        int removals = changes.removals(table, now);
        double reserved = reservedForRemovals(table.shard(), now);
        double forRemovals =
                removals > 0
                        ? budget.capacityForRemovals()
                        : budget.capacity(ChannelBudget.URGENT_SHARE) - reserved;
        double forUnservedMethods =
                changes.withoutReadyNode(table) ? budget.capacity(ChannelBudget.URGENT_SHARE) : 0;
        double ordinaryFit =
                (budget.capacity(ChannelBudget.ORDINARY_SHARE) - reserved) / members - overhead;
        double removalsFit = Math.min(removals, forRemovals / members - overhead);
        double unservedFit = Math.min(urgent, forUnservedMethods / members - overhead);
        int fittingEntries =
                (int) Math.floor(Math.max(ordinaryFit, Math.max(removalsFit, unservedFit)));
        return (int)
                Math.min(fittingEntries, urgent + nonUrgentEntriesAllowed(table, fittingEntries));
    }

    private double reservedForRemovals(ProxyShard currentShard, long now) {
        return shards.shards().stream()
                .filter(shard -> shard != currentShard)
                .mapToDouble(shard -> removalEntries(shard, now))
                .sum();
    }

    /** Entries that the shard's removals occupy, with one message for each receiver. */
    private double removalEntries(ProxyShard shard, long now) {
        List<ShardTable> tables =
                shard.tables().stream().filter(table -> changes.removals(table, now) > 0).toList();
        double entries =
                tables.stream()
                        .mapToDouble(
                                table -> changes.removals(table, now) * table.subscribers().size())
                        .sum();
        long receivers =
                tables.isEmpty()
                        ? 0
                        : shard.subscribedMembers().stream()
                                .filter(p -> tables.stream().anyMatch(table -> table.isFor(p)))
                                .count();
        return entries + receivers * budget.messageOverhead();
    }

    /**
     * Number of entries allowed besides the urgent ones; a partial table gets its remaining entries
     * slowly, a limited number in each delivery.
     */
    private double nonUrgentEntriesAllowed(ShardTable table, int fittingEntries) {
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
                : fittingEntries;
    }

    /**
     * The number of entries below which a delivery waits, as the message overhead would be too high
     * for so few entries.
     */
    private double entriesWorthSending(
            ShardTable table, double overhead, double members, long now) {
        int removals = changes.removals(table, now);
        if (removals > 0) {
            return Math.min(removals, settings.messageOverheadEntries());
        }
        if (changes.urgent(table, now) || budget.queuedEntries() == 0) {
            return 0;
        }
        double emptyQueueCapacity =
                budget.capacity(ChannelBudget.ORDINARY_SHARE) + budget.queuedEntries();
        double halfCapacity = (emptyQueueCapacity / members - overhead) / 2;
        return Math.min(
                table.pending().size(), Math.max(settings.messageOverheadEntries(), halfCapacity));
    }
}
