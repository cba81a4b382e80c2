package rosespread.policy;

import rosespread.api.PolicySettings;
import rosespread.policy.state.Proxy;
import rosespread.stats.InFlightMessages;

/**
 * What the channel and the message limit still allow. The channel carries entries of all proxies in
 * the order written, so that what is written waits behind all that was written before.
 */
final class ChannelBudget {
    /** Part of the queue's and the messages' limits for ordinary deliveries. */
    static final double ORDINARY_SHARE = 0.5;

    /** Part of the limits for deliveries that can't wait and for full tables in a reconnect. */
    static final double URGENT_SHARE = 0.7;

    /** Part of the limits for removals: nothing else may fill what they need. */
    static final double REMOVAL_SHARE = 0.9;

    /** Part of a drain timeout whose entries may wait: a removal leaves behind all of them. */
    private static final double QUEUED_TIMEOUT_PART = 0.667;

    /** Part of a drain timeout that a removal may wait for its turn. */
    private static final double TURN_TIMEOUT_PART = 0.333;

    private final PolicySettings settings;
    private final InFlightMessages inFlight;
    private final OutgoingRound outgoing;

    ChannelBudget(PolicySettings settings, InFlightMessages inFlight, OutgoingRound outgoing) {
        this.settings = settings;
        this.inFlight = inFlight;
        this.outgoing = outgoing;
    }

    /** Unacknowledged entries; they bound the queue from above, however slow the channel is. */
    double queuedEntries() {
        return inFlight.entries() + outgoing.entries();
    }

    /** What a message costs besides its entries, counted in entries. */
    double messageOverhead() {
        return outgoing.messageOverhead();
    }

    /**
     * Capacity for entries besides those queued, at a part of the limits. A removal waits behind
     * all that is queued, so that must leave well within the drain timeout, whatever the limit
     * allows.
     */
    double capacity(double share) {
        double inTime =
                share * QUEUED_TIMEOUT_PART * entriesWithinDrainTimeout() + propagatingEntries();
        return Math.min(share * settings.queueLimitEntries(), inTime) - queuedEntries();
    }

    /** Capacity for removals besides what is queued. */
    double capacityForRemovals() {
        return REMOVAL_SHARE * Math.min(settings.queueLimitEntries(), entriesWithinDrainTimeout())
                - queuedEntries();
    }

    /** Entries that left the channel and can't have been acknowledged yet. */
    double propagatingEntries() {
        return settings.entriesPerSecond() * settings.maxPropagationDelayNanos() / TimeUnits.SECOND;
    }

    /** Entries that the channel carries until what left must be out of all tables. */
    private double entriesWithinDrainTimeout() {
        return settings.entriesPerSecond() * settings.drainTimeoutNanos() / TimeUnits.SECOND;
    }

    /** Entries that the channel carries in half of that time. */
    double entriesWithinHalfDrainTimeout() {
        return entriesWithinDrainTimeout() / 2;
    }

    /** How long a removal may wait for its turn, in nanoseconds. */
    long maxRemovalWaitNanos() {
        return (long) (TURN_TIMEOUT_PART * settings.drainTimeoutNanos());
    }

    /** How many messages were written to the proxy within the window of their limit. */
    int messages(Proxy proxy, long now) {
        return proxy.messages(now, settings.messageWindowNanos());
    }

    /** Whether a part of the message limit lets the proxy be written to in this round. */
    boolean allowsMessage(Proxy proxy, double share, long now) {
        return settings.messageLimit() == 0
                || outgoing.hasMessageFor(proxy)
                || messages(proxy, now) + 1 <= share * settings.messageLimit();
    }
}
