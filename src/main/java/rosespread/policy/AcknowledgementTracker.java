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
 * Settles deliveries as proxies acknowledge them. One that stays unacknowledged too long is closed,
 * and the laggards are subscribed again.
 */
final class AcknowledgementTracker {
    /** The least time that a proxy has to acknowledge. */
    private static final long MIN_TIMEOUT_NANOS = 2 * TimeUnits.SECOND;

    /** Time constant of the mean latency of acknowledgements. */
    private static final long LATENCY_WINDOW_NANOS = 10 * TimeUnits.SECOND;

    /** The timeout is at least this multiple of the mean latency: some proxies are later. */
    private static final double LATENCY_MULTIPLE = 3;

    /** What is queued counts so many times, as the channel may be slower than stated. */
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

    /** The stream is ordered, so a token also acknowledges all that was sent before it. */
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

    /** A proxy's stream ended: nothing is waited for any more. */
    void forget(ProxyId id) {
        inFlight.forget(id);
        shards.tables().forEach(table -> table.forget(id));
    }

    /**
     * Closes deliveries that are unacknowledged too long; their laggards need full tables, proxies
     * without a subscription are waited for no longer.
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
        for (ProxyId id : table.laggards()) {
            Proxy proxy = proxies.find(id);
            if (proxy.fullTableBefore(table.deliverySequence())) {
                proxy.requireFullTable();
            }
        }
        table.closeDelivery();
    }

    /** Stretched by the latency met and by what the channel may still hold. */
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
