package rosespread.policy;

import rosespread.api.PolicySettings;
import rosespread.policy.state.Proxy;
import rosespread.stats.InFlightMessages;

/**
 * Computes how many more entries may be written to the channel, and how many more messages to a
 * proxy under the message limit. The channel sends the entries of all proxies in the order in which
 * they are written, so each entry waits behind all entries written before it.
 */
final class ChannelBudget {
    /** Fraction of the queue limit and of the message limit that ordinary deliveries may use. */
    static final double ORDINARY_SHARE = 0.5;

    /**
     * Fraction of the queue limit that urgent deliveries and, in a mass reconnect, full tables may
     * use; for urgent deliveries also the fraction of the message limit.
     */
    static final double URGENT_SHARE = 0.7;

    /**
     * Fraction of the queue limit and of the message limit that removals may use; higher than for
     * other traffic, which must not use up what removals need.
     */
    static final double REMOVAL_SHARE = 0.9;

    /**
     * Fraction of the entries that the channel can send within a drain timeout that may be queued,
     * as a removal waits behind all queued entries.
     */
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

    /**
     * Number of unacknowledged entries, including those of the current round: an upper bound of the
     * number of entries queued in the channel, however slow the channel is.
     */
    double queuedEntries() {
        return inFlight.entries() + outgoing.entries();
    }

    /** Overhead of a message besides its entries, counted in entries. */
    double messageOverhead() {
        return outgoing.messageOverhead();
    }

    /**
     * The number of entries that may be written in addition to those queued. A removal waits behind
     * all queued entries, so the queued entries must leave the channel well within the drain
     * timeout, even if the queue limit allows more of them.
     *
     * @param share fraction of the queue limit that may be used; the same fraction applies to the
     *     number of entries that can leave the channel early enough for a removal
     */
    double capacity(double share) {
        double deliverableInTime =
                share * QUEUED_TIMEOUT_FRACTION * entriesWithinDrainTimeout()
                        + propagatingEntries();
        return Math.min(share * settings.queueLimitEntries(), deliverableInTime) - queuedEntries();
    }

    /** The number of entries that may be written for removals in addition to those queued. */
    double capacityForRemovals() {
        return REMOVAL_SHARE * Math.min(settings.queueLimitEntries(), entriesWithinDrainTimeout())
                - queuedEntries();
    }

    /** Maximum number of entries that have left the channel and are not acknowledged yet. */
    double propagatingEntries() {
        return settings.entriesPerSecond() * settings.maxPropagationDelayNanos() / TimeUnits.SECOND;
    }

    /**
     * Number of entries that the channel can send within a drain timeout. When a drain timeout has
     * passed since a node left, no table may contain an entry of that node.
     */
    private double entriesWithinDrainTimeout() {
        return settings.entriesPerSecond() * settings.drainTimeoutNanos() / TimeUnits.SECOND;
    }

    /** Number of entries that the channel can send within half a drain timeout. */
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

    /**
     * Whether the proxy can be written to in this round without exceeding the fraction {@code
     * share} of the message limit. Always true if there is no message limit or if this round has a
     * message for the proxy already.
     */
    boolean allowsMessage(Proxy proxy, double share, long now) {
        return settings.messageLimit() == 0
                || outgoing.hasMessageFor(proxy)
                || messages(proxy, now) + 1 <= share * settings.messageLimit();
    }
}
