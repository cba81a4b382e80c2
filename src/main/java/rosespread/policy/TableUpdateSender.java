package rosespread.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ShardTable;

/**
 * Sends a table's pending delivery, or as many of its entries as the caller allows, to the table's
 * subscribers.
 */
final class TableUpdateSender {
    /** Maximum fraction of the channel capacity that ordinary deliveries may use. */
    private static final double MAX_CHANNEL_SHARE = 0.85;

    /**
     * Maximum cost of ordinary deliveries as a fraction of the whole service, like {@link
     * PolicySettings#channelCost}; a channel with a high cost is used less.
     */
    private static final double MAX_CHANNEL_COST = 0.04;

    private final PolicySettings settings;
    private final NodeRegistry nodes;
    private final PendingChanges changes;
    private final ChannelBudget budget;
    private final OutgoingRound outgoing;
    private final NodeExclusions exclusions;
    private long channelFreeAt;

    TableUpdateSender(
            PolicySettings settings,
            NodeRegistry nodes,
            PendingChanges changes,
            ChannelBudget budget,
            OutgoingRound outgoing,
            NodeExclusions exclusions) {
        this.settings = settings;
        this.nodes = nodes;
        this.changes = changes;
        this.budget = budget;
        this.outgoing = outgoing;
        this.exclusions = exclusions;
    }

    /**
     * Clock reading in nanoseconds at which the channel has sent all updates so far, if it uses
     * only the fraction of its capacity that ordinary deliveries may use.
     */
    long channelFreeAt() {
        return channelFreeAt;
    }

    /**
     * Sends all pending admission limits and a limited number of pending entries: first the entries
     * of nodes that are not ready, then those of warming nodes whose delivered weight is far too
     * high, then those whose weights change most.
     */
    void send(ShardTable table, int maxEntries, RoundContext round) {
        List<NodeId> entries = mostUrgentEntries(table, maxEntries, round.now());
        int sent = entries.size() + table.pendingLimits();
        for (NodeId id : entries) {
            double weight = table.deliverPending(id);
            round.actions().setWeight(table.id(), id, weight);
            if (weight == 0) {
                nodes.find(id).markRemoved(round.now());
            }
        }
        table.invalidatePendingCounts();
        entries.forEach(id -> exclusions.update(nodes.find(id), round));
        table.deliverPendingLimits(
                (method, limit) -> round.actions().setAdmissionLimit(table.id(), method, limit));
        table.deliveryStarted(outgoing.sequence(), round.now());
        for (Proxy proxy : table.subscribers()) {
            outgoing.add(proxy, sent);
            table.deliveredTo(proxy.id());
        }
        occupyChannel(table.unacknowledged() * (sent + budget.messageOverhead()), round.now());
    }

    private List<NodeId> mostUrgentEntries(ShardTable table, int maxEntries, long now) {
        List<NodeId> entries = new ArrayList<>(table.pending().keySet());
        entries.sort(
                Comparator.comparing(changes::ready)
                        .thenComparing(id -> !changes.warmUpWeightTooHigh(table, id, now))
                        .thenComparing(id -> -table.pendingDifference(id)));
        return entries.subList(0, Math.min(maxEntries, entries.size()));
    }

    private void occupyChannel(double entries, long now) {
        double share = Math.min(MAX_CHANNEL_SHARE, MAX_CHANNEL_COST / settings.channelCost());
        long occupiedNanos =
                (long) (entries / settings.entriesPerSecond() / share * TimeUnits.SECOND);
        channelFreeAt = Math.max(now, channelFreeAt) + occupiedNanos;
    }
}
