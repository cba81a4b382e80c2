package rosespread.policy;

import rosespread.api.PolicySettings;
import rosespread.policy.state.Proxy;
import rosespread.stats.InFlightMessages;

/**
 * The number of entries and messages that the channel and the message limit still allow. The
 * channel carries the entries of all proxies in the order in which they are written, so each entry
 * waits behind all entries written before it.
 */
final class ChannelBudget {
    /** Fraction of the queue limit and of the message limit for ordinary deliveries. */
    static final double ORDINARY_SHARE = 0.5;

    /** Fraction of the limits for urgent deliveries and for full tables in a mass reconnect. */
    static final double URGENT_SHARE = 0.7;

    /** Fraction of the limits for removals; other traffic must not use up what they need. */
    static final double REMOVAL_SHARE = 0.9;

    /** Fraction of a drain timeout's entries that may be queued, as a removal waits behind them. */
    private static final double QUEUED_TIMEOUT_FRACTION = 0.667;

    /** Fraction of a drain timeout that a removal may wait before it is sent. */
    private static final double REMOVAL_WAIT_FRACTION = 0.333;

    private final PolicySettings settings;
    private final InFlightMessages inFlight;
    private final OutgoingRound outgoing;

    ChannelBudget(PolicySettings settings, InFlightMessages inFlight, OutgoingRound outgoing) {
        this.settings = settings;
        this.inFlight = inFlight;
        this.outgoing = outgoing;
    }

    /** Unacknowledged entries: an upper bound of the queue, however slow the channel is. */
    double queuedEntries() {
        return inFlight.entries() + outgoing.entries();
    }

    /** Overhead of a message besides its entries, counted in entries. */
    double messageOverhead() {
        return outgoing.messageOverhead();
    }

    /**
     * The entries that may be written besides those queued, at a fraction of the limits. A removal
     * waits behind all queued entries, so these must leave the channel well within the drain
     * timeout, whatever the queue limit allows.
     */
    double capacity(double share) {
        double deliverableInTime =
                share * QUEUED_TIMEOUT_FRACTION * entriesWithinDrainTimeout()
                        + propagatingEntries();
        return Math.min(share * settings.queueLimitEntries(), deliverableInTime) - queuedEntries();
    }

    /** The entries that removals may take besides those queued. */
    double capacityForRemovals() {
        return REMOVAL_SHARE * Math.min(settings.queueLimitEntries(), entriesWithinDrainTimeout())
                - queuedEntries();
    }

    /** Entries that may have left the channel without being acknowledged yet. */
    double propagatingEntries() {
        return settings.entriesPerSecond() * settings.maxPropagationDelayNanos() / TimeUnits.SECOND;
    }

    /**
     * Entries that the channel carries within a drain timeout, after which no table may hold a node
     * that left.
     */
    private double entriesWithinDrainTimeout() {
        return settings.entriesPerSecond() * settings.drainTimeoutNanos() / TimeUnits.SECOND;
    }

    /** Entries that the channel carries within half a drain timeout. */
    double entriesWithinHalfDrainTimeout() {
        return entriesWithinDrainTimeout() / 2;
    }

    /** How long a removal may wait before it is sent, in nanoseconds. */
    long maxRemovalWaitNanos() {
        return (long) (REMOVAL_WAIT_FRACTION * settings.drainTimeoutNanos());
    }

    /** The number of messages written to the proxy within the window of the message limit. */
    int messages(Proxy proxy, long now) {
        return proxy.messages(now, settings.messageWindowNanos());
    }

    /** Whether a fraction of the message limit allows writing to the proxy in this round. */
    boolean allowsMessage(Proxy proxy, double share, long now) {
        return settings.messageLimit() == 0
                || outgoing.hasMessageFor(proxy)
                || messages(proxy, now) + 1 <= share * settings.messageLimit();
    }
}
