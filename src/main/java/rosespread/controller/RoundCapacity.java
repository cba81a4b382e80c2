package rosespread.controller;

import java.util.List;
import java.util.Map;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.settings.FleetSettings;
import rosespread.validation.ChannelCapacity;

/**
 * The remaining capacity of the channel in a round, in weight entries. The capacity is reduced by
 * queued entries, by entries that this round has committed so far, and by the entries of messages
 * whose acknowledgement is overdue. The overdue entries count only if more than half of the proxies
 * have an overdue acknowledgement.
 *
 * <p>Owned by the event-loop thread.
 */
final class RoundCapacity {
    private final Map<ProxyId, ProxySession> sessions;
    private final PacedChannel channel;
    private final FleetSettings.Channel limits;
    private final long drainTimeoutNanos;
    private final int overheadEntries;
    private long overdueEntries;
    private double committedEntries;

    RoundCapacity(
            Map<ProxyId, ProxySession> sessions, PacedChannel channel, FleetSettings settings) {
        this.sessions = sessions;
        this.channel = channel;
        this.limits = settings.channel();
        this.drainTimeoutNanos = settings.drainTimeoutNanos();
        this.overheadEntries = (int) Math.ceil(limits.messageOverheadEntries());
    }

    /**
     * Starts a round. Reduces the capacity by the overhead of one message for each proxy whose
     * acknowledgement the policy expects.
     */
    void startRound(RoundActions actions, long nowNanos) {
        overdueEntries = overdueEntries(nowNanos);
        committedEntries =
                actions.requestsAcknowledgement()
                        ? (overheadEntries + 1.0)
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

    /** Returns the sessions subscribed to a table, in the order of their proxies' ids. */
    List<ProxySession> subscribers(TableId table) {
        return sessions.values().stream().filter(session -> session.isSubscribed(table)).toList();
    }

    /**
     * Reduces the capacity by a committed delta.
     *
     * @param entries the weight entries of the delta
     * @param messageCounted whether the overhead of its message was counted when the round started
     * @param subscribers the number of proxies that the delta is sent to
     */
    void reserve(int entries, boolean messageCounted, int subscribers) {
        committedEntries += (entries + (messageCounted ? 0 : overheadEntries + 1.0)) * subscribers;
    }

    /**
     * Returns the number of a table's entries that the channel can deliver to each subscriber
     * within the drain timeout; infinite without subscribers, negative if more entries are queued
     * than the channel can deliver in that time.
     */
    double entriesWithinDrainTimeout(TableId table) {
        return ChannelCapacity.deliverableEntries(
                limits.entriesPerSecond(),
                drainTimeoutNanos,
                limits.queueLimitEntries(),
                channel.queuedEntries() + committedEntries,
                subscribers(table).size(),
                messageOverhead());
    }

    /**
     * Returns the number of entries that can be sent to each proxy now in addition to those that
     * the policy orders.
     *
     * @param proxies the number of proxies to send to
     * @param urgent whether the entries may use the larger share of the queue limit that {@link
     *     ChannelCapacity} allows for removals of draining nodes
     */
    int availableEntries(int proxies, boolean urgent) {
        return ChannelCapacity.availableEntries(
                limits.queueLimitEntries(),
                channel.queuedEntries() + overdueEntries + committedEntries,
                proxies,
                messageOverhead(),
                urgent);
    }

    /**
     * Returns whether the message limit allows one more message to a session in addition to those
     * that the policy orders.
     *
     * @param urgent whether the message may use the larger share of the message limit that {@link
     *     ChannelCapacity} allows for removals of draining nodes
     */
    boolean allowsMessage(ProxySession session, long nowNanos, boolean urgent) {
        return ChannelCapacity.mayWriteMessage(
                limits.messageLimit(),
                session.messagesQueuedWithin(nowNanos, limits.messageWindowNanos()),
                urgent);
    }

    /** Returns the overhead of a message besides its entries, counted in entries. */
    int messageOverhead() {
        return overheadEntries + 1;
    }
}
