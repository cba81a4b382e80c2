package rosespread.policy;

import java.util.ArrayDeque;
import rosespread.api.PolicyEvent;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.policy.state.Node;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;
import rosespread.stats.DecayingSum;
import rosespread.stats.InFlightMessages;

/**
 * Tracks which deliveries the proxies have acknowledged. Closes a delivery that stays
 * unacknowledged past the timeout; the proxies that have not acknowledged it are subscribed again.
 *
 * <p>Acknowledgements also show which messages have left the channel, which sends the messages of
 * all proxies in the order in which they are written. Messages to a proxy whose stream is open but
 * silent therefore do not count as queued for long.
 */
final class AcknowledgementTracker {
    /** Lower bound of the acknowledgement timeout. */
    private static final long MIN_TIMEOUT_NANOS = 2 * TimeUnits.SECOND;

    /** Time constant of the mean acknowledgement latency. */
    private static final long LATENCY_WINDOW_NANOS = 10 * TimeUnits.SECOND;

    /**
     * Factor of the mean acknowledgement latency in the timeout, as some proxies take longer than
     * the mean.
     */
    private static final double LATENCY_MULTIPLE = 3;

    /**
     * Factor of the estimated queueing delay in the timeout, as the channel may be slower than the
     * settings state.
     */
    private static final double QUEUE_MULTIPLE = 4;

    /**
     * Maximum number of times that the timeout of full tables doubles; silent proxies then use
     * little of the channel.
     */
    private static final int MAX_TIMEOUT_DOUBLINGS = 4;

    /** An acknowledgement of a round, which shows that the channel has sent all earlier rounds. */
    private record ChannelProgress(long sequence, long acknowledgedAt) {}

    private final PolicySettings settings;
    private final ProxyRegistry proxies;
    private final ShardRegistry shards;
    private final InFlightMessages inFlight;
    private final ChannelBudget budget;
    private final DecayingSum latencyNanos = new DecayingSum(LATENCY_WINDOW_NANOS);
    private final DecayingSum acknowledgements = new DecayingSum(LATENCY_WINDOW_NANOS);
    private final ArrayDeque<ChannelProgress> progress = new ArrayDeque<>();
    private long highestAcknowledged;
    private long lastAcknowledgedAt = Node.NEVER;

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
     * Records a proxy's acknowledgement. The stream is ordered, so a token acknowledges its own
     * message and all messages sent earlier. A token that matches no unacknowledged message is
     * ignored.
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
        lastAcknowledgedAt = now;
        if (sequence > highestAcknowledged) {
            highestAcknowledged = sequence;
            progress.addLast(new ChannelProgress(sequence, now));
        }
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
     * Closes deliveries that have not been acknowledged within the timeout. Marks the proxies that
     * need full tables because their acknowledgement is missing. For proxies without a
     * subscription, messages written longer ago than the timeout no longer count as queued.
     */
    void handleTimeouts(RoundContext round) {
        long now = round.now();
        long timeout = timeoutNanos(now);
        dequeueSentMessages(timeout, now);
        for (ShardTable table : shards.tables()) {
            if (table.deliveryTimedOut(now, timeout)) {
                close(table, round);
            }
        }
        for (Proxy proxy : proxies.all()) {
            if (!proxy.subscribed()) {
                inFlight.expire(proxy.id(), now - timeout);
            }
            if (proxy.fullTableTimedOut(now, fullTableTimeoutNanos(proxy, timeout))) {
                proxy.requireFullTable();
            }
        }
    }

    /** The timeout doubles with each further full table that the proxy leaves unacknowledged. */
    private static long fullTableTimeoutNanos(Proxy proxy, long timeout) {
        int retries = Math.max(0, proxy.unacknowledgedFullTables() - 1);
        return timeout << Math.min(retries, MAX_TIMEOUT_DOUBLINGS);
    }

    /**
     * Stops counting messages as queued once a later round has been acknowledged by any proxy and
     * the maximum propagation delay has passed since. If no proxy has acknowledged anything for a
     * timeout, all streams may be silent; then messages written longer ago than the timeout no
     * longer count, as they would otherwise keep the tables of proxies that join from being sent.
     */
    private void dequeueSentMessages(long timeout, long now) {
        long cutoff = now - settings.maxPropagationDelayNanos();
        while (!progress.isEmpty() && progress.peekFirst().acknowledgedAt() < cutoff) {
            inFlight.sentBefore(progress.removeFirst().sequence());
        }
        if (lastAcknowledgedAt < now - timeout) {
            inFlight.assumeSent(now - timeout);
        }
    }

    private void close(ShardTable table, RoundContext round) {
        round.actions()
                .report(
                        new PolicyEvent.AcknowledgementTimedOut(
                                table.id(), table.version(), table.unacknowledged()));
        for (ProxyId id : table.unacknowledgedProxies()) {
            Proxy proxy = proxies.find(id);
            if (proxy.fullTableSentBefore(table.deliverySequence())
                    && !proxy.fullTableUnacknowledged()) {
                proxy.requireFullTable();
            }
        }
        table.closeDelivery();
    }

    /**
     * The acknowledgement timeout in nanoseconds; the timeout grows with the mean acknowledgement
     * latency and with the number of entries queued in the channel.
     */
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
