package rosespread.policy;

import rosespread.api.PolicyEvent;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;
import rosespread.stats.DecayingSum;
import rosespread.stats.InFlightMessages;

/**
 * Tracks which deliveries the proxies have acknowledged. Closes a delivery that stays
 * unacknowledged past the timeout; the proxies that have not acknowledged it are subscribed again.
 */
final class AcknowledgementTracker {
    /** Least acknowledgement timeout. */
    private static final long MIN_TIMEOUT_NANOS = 2 * TimeUnits.SECOND;

    /** Time constant of the mean acknowledgement latency. */
    private static final long LATENCY_WINDOW_NANOS = 10 * TimeUnits.SECOND;

    /** Factor applied to the mean latency in the timeout, as some proxies take longer. */
    private static final double LATENCY_MULTIPLE = 3;

    /** Factor applied to the queueing delay, as the channel may be slower than stated. */
    private static final double QUEUE_MULTIPLE = 4;

    private final PolicySettings settings;
    private final ProxyRegistry proxies;
    private final ShardRegistry shards;
    private final InFlightMessages inFlight;
    private final ChannelBudget budget;
    private final DecayingSum latencyNanos = new DecayingSum(LATENCY_WINDOW_NANOS);
    private final DecayingSum acknowledgements = new DecayingSum(LATENCY_WINDOW_NANOS);

    AcknowledgementTracker(
            PolicySettings settings,
            ProxyRegistry proxies,
            ShardRegistry shards,
            InFlightMessages inFlight,
            ChannelBudget budget) {
        this.settings = settings;
        this.proxies = proxies;
        this.shards = shards;
        this.inFlight = inFlight;
        this.budget = budget;
    }

    /**
     * Records a proxy's acknowledgement. The stream is ordered, so a token also acknowledges all
     * messages sent before it. A token that matches no unacknowledged message is ignored.
     *
     * @param latency acknowledgement latency in nanoseconds
     * @param now clock reading in nanoseconds
     */
    void acknowledged(ProxyId id, int token, long latency, long now) {
        long sequence = inFlight.acknowledged(id, token);
        if (sequence == 0) {
            return;
        }
        proxies.find(id).acknowledged(sequence);
        latencyNanos.add(now, latency);
        acknowledgements.add(now, 1);
        shards.tables().forEach(table -> table.acknowledged(id, sequence));
    }

    /** Stops waiting for acknowledgements of a proxy whose stream has ended. */
    void forget(ProxyId id) {
        inFlight.forget(id);
        shards.tables().forEach(table -> table.forget(id));
    }

    /**
     * Closes deliveries whose acknowledgement has timed out and marks the proxies that need full
     * tables because of it. For proxies without a subscription, messages older than the timeout no
     * longer count as queued.
     */
    void handleTimeouts(RoundContext round) {
        long now = round.now();
        long timeout = timeoutNanos(now);
        for (ShardTable table : shards.tables()) {
            if (table.deliveryTimedOut(now, timeout)) {
                close(table, round);
            }
        }
        for (Proxy proxy : proxies.all()) {
            if (!proxy.subscribed()) {
                inFlight.expire(proxy.id(), now - timeout);
            }
            if (proxy.fullTableTimedOut(now, timeout)) {
                proxy.requireFullTable();
            }
        }
    }

    private void close(ShardTable table, RoundContext round) {
        round.actions()
                .report(
                        new PolicyEvent.AcknowledgementTimedOut(
                                table.id(), table.version(), table.unacknowledged()));
        for (ProxyId id : table.unacknowledgedProxies()) {
            Proxy proxy = proxies.find(id);
            if (proxy.fullTableSentBefore(table.deliverySequence())) {
                proxy.requireFullTable();
            }
        }
        table.closeDelivery();
    }

    /** The acknowledgement timeout; it grows with the measured latency and the channel's queue. */
    private long timeoutNanos(long now) {
        double meanLatency = latencyNanos.read(now) / Math.max(1, acknowledgements.read(now));
        double queue = budget.queuedEntries() / settings.entriesPerSecond() * TimeUnits.SECOND;
        return Math.max(
                MIN_TIMEOUT_NANOS,
                (long)
                        (LATENCY_MULTIPLE * meanLatency
                                + QUEUE_MULTIPLE * queue
                                + settings.maxPropagationDelayNanos()));
    }
}
