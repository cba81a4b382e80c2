package rosespread.controller;

import java.util.List;
import java.util.Map;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.settings.FleetSettings;
import rosespread.validation.ChannelCapacity;

/**
 * What the channel can still carry in a round, beside what is queued, what this round has committed
 * so far, and what most proxies are late to acknowledge.
 *
 * <p>Owned by the event-loop thread.
 */
final class RoundCapacity {
    private final Map<ProxyId, ProxySession> sessions;
    private final PacedChannel channel;
    private final FleetSettings.Channel limits;
    private final long drainGraceNanos;
    private final int entriesPerMessage;
    private long overdueEntries;
    private double committedEntries;

    RoundCapacity(
            Map<ProxyId, ProxySession> sessions, PacedChannel channel, FleetSettings settings) {
        this.sessions = sessions;
        this.channel = channel;
        this.limits = settings.channel();
        this.drainGraceNanos = settings.drainTimeoutNanos();
        this.entriesPerMessage = (int) Math.ceil(limits.messageOverheadEntries());
    }

    /** Starts a round; each proxy whose acknowledgement the policy expects gets a message. */
    void startRound(RoundActions actions, long nowNanos) {
        overdueEntries = overdueEntries(nowNanos);
        committedEntries =
                actions.requestsAcknowledgement()
                        ? (entriesPerMessage + 1.0)
                                * sessions.values().stream()
                                        .filter(
                                                session ->
                                                        actions.changesWeightsOfAny(
                                                                session.subscribedTables()))
                                        .count()
                        : 0;
    }

    private long overdueEntries(long nowNanos) {
        ProxySession.AcknowledgementDeadline deadline =
                writtenAt ->
                        ChannelCapacity.isOverdue(
                                nowNanos - writtenAt, limits.maxPropagationDelayNanos());
        long entries = 0;
        int lateProxies = 0;
        for (ProxySession session : sessions.values()) {
            long overdue = session.overdueEntries(deadline);
            entries += overdue;
            lateProxies += overdue > 0 ? 1 : 0;
        }
        return ChannelCapacity.overdueEntries(entries, lateProxies, sessions.size());
    }

    /** Returns the sessions subscribed to a table, in the order of their proxies. */
    List<ProxySession> subscribers(TableId table) {
        return sessions.values().stream().filter(session -> session.isSubscribed(table)).toList();
    }

    /**
     * Counts a delta that was committed.
     *
     * @param messageCounted whether the message that carries it was counted as the round started
     */
    void reserve(int entries, boolean messageCounted, int subscribers) {
        committedEntries +=
                (entries + (messageCounted ? 0 : entriesPerMessage + 1.0)) * subscribers;
    }

    /** Returns the entries of a table that reach its subscribers within the drain timeout. */
    double entriesWithinGrace(TableId table) {
        return ChannelCapacity.deliverableEntries(
                limits.entriesPerSecond(),
                drainGraceNanos,
                limits.queueLimitEntries(),
                channel.queuedEntries() + committedEntries,
                subscribers(table).size(),
                messageOverhead());
    }

    /** Returns the entries that may go to each of so many proxies now, beside the policy's own. */
    int availableEntries(int proxies, boolean urgent) {
        return ChannelCapacity.availableEntries(
                limits.queueLimitEntries(),
                channel.queuedEntries() + overdueEntries + committedEntries,
                proxies,
                messageOverhead(),
                urgent);
    }

    /** Whether the message limit lets a session have one more message, beside the policy's own. */
    boolean allowsMessage(ProxySession session, long nowNanos, boolean urgent) {
        return ChannelCapacity.mayWriteMessage(
                limits.messageLimit(),
                session.messagesQueuedWithin(nowNanos, limits.messageWindowNanos()),
                urgent);
    }

    /** Returns what a message counts by itself, in entries. */
    int messageOverhead() {
        return entriesPerMessage + 1;
    }
}
