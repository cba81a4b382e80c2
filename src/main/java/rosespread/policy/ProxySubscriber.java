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
 * Sends full tables to joined proxies and laggards, the busiest first, but those that wait for a
 * third of a drain timeout before all: guards against a node that leaves and stays too long in the
 * table of another controller.
 */
final class ProxySubscriber {
    /** Part of the queue's and the messages' limits for full tables. */
    private static final double FULL_TABLE_SHARE = 0.8;

    /** The same while a delivery waits for room. */
    private static final double SHARE_BESIDE_DELIVERY = 0.35;

    /** Full tables wait here, not in the channel, which holds those of so much time. */
    private static final long QUEUED_NANOS = TimeUnits.SECOND / 2;

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

    /** Subscribes the proxies that need full tables, as far as the channel has room. */
    void subscribeWaiting(RoundContext round) {
        long now = round.now();
        List<Proxy> waiting = waitingProxies(now);
        double share = channelShare(round);
        if (reconnects.inProgress()) {
            partialTables.writeUnfollowed(round);
        }
        if (!waiting.isEmpty()) {
            shards.tables().stream()
                    .filter(table -> table.delivered().isEmpty())
                    .forEach(table -> sender.send(table, Integer.MAX_VALUE, round));
        }
        for (Proxy proxy : waiting) {
            subscribeIfFits(proxy, share, round);
        }
    }

    private List<Proxy> waitingProxies(long now) {
        List<Proxy> waiting =
                new ArrayList<>(proxies.all().stream().filter(Proxy::needsFullTable).toList());
        waiting.sort(
                Comparator.comparingLong((Proxy proxy) -> deadlineOrder(proxy, now))
                        .thenComparing(proxy -> -proxy.usualRate())
                        .thenComparing(Proxy::id));
        return waiting;
    }

    private long deadlineOrder(Proxy proxy, long now) {
        return reconnects.inProgress() || reconnects.overdue(proxy, now)
                ? proxy.waitingSince()
                : now;
    }

    /** The part of the limits for full tables; less beside deliveries that wait and removals. */
    private double channelShare(RoundContext round) {
        double depth =
                settings.entriesPerSecond()
                        * (QUEUED_NANOS + settings.maxPropagationDelayNanos() / 2)
                        / TimeUnits.SECOND;
        boolean removals =
                shards.tables().stream()
                        .anyMatch(table -> changes.removals(table, round.now()) > 0);
        boolean beside = removals || round.deliveryWaiting();
        return Math.min(
                beside ? SHARE_BESIDE_DELIVERY : FULL_TABLE_SHARE,
                depth / settings.queueLimitEntries());
    }

    private void subscribeIfFits(Proxy proxy, double share, RoundContext round) {
        List<ShardTable> tables =
                proxy.shard().tables().stream()
                        .filter(table -> table.isFor(proxy) && !table.delivered().isEmpty())
                        .toList();
        double entries =
                tables.stream()
                        .mapToDouble(t -> 1 + t.delivered().size() + t.methods().size())
                        .sum();
        double capacity = capacityFor(proxy, share, round.now()) - budget.messageOverhead();
        if (!budget.allowsMessage(proxy, FULL_TABLE_SHARE, round.now())
                || capacity < entries
                || tables.isEmpty()) {
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
