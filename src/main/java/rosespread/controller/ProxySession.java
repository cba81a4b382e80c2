package rosespread.controller;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.channel.Frame;

/**
 * State of one proxy's stream: the progress of its handshake, the tables that the proxy is
 * subscribed to, and the messages that it has not acknowledged. Times are in nanoseconds of {@link
 * System#nanoTime()}.
 *
 * <p>Owned by the event-loop thread.
 */
public final class ProxySession {
    /** The outgoing side of a stream. Called on the event-loop thread; no method may block. */
    public interface Transport {
        /** Sends complete frames. */
        void write(byte[] frames);

        /**
         * Returns the number of bytes passed to {@link #write} and not yet written to the socket.
         */
        long writeBufferBytes();

        /**
         * Closes the stream; sends the reason first if the peer can still be expected to read it.
         */
        void close(Frame.Reason reason, String text);

        /** Returns the peer's address for log messages. */
        String remoteAddress();
    }

    /**
     * A message that the proxy has to acknowledge.
     *
     * @param number the message number, which the acknowledgement repeats
     * @param round the number of the first message of the same round
     * @param token the policy's acknowledgement token, negative if the policy requested none
     * @param orderedAtNanos when the policy ordered the message
     * @param entries the size of the message on the channel, in weight entries
     * @param writtenAtNanos when the message was written to the stream
     */
    record UnacknowledgedMessage(
            long number,
            long round,
            int token,
            long orderedAtNanos,
            int entries,
            long writtenAtNanos) {}

    private final Transport transport;
    private final long openedAtNanos;
    private final ArrayDeque<UnacknowledgedMessage> unacknowledged = new ArrayDeque<>();
    private final Set<NodeId> sentAddresses = new TreeSet<>();
    private final TreeMap<TableId, Set<MethodId>> subscriptions = new TreeMap<>();
    private final TreeSet<TableId> pendingFullUpdates = new TreeSet<>();
    private final ArrayDeque<Long> messageTimes = new ArrayDeque<>();
    private boolean helloAccepted;
    private boolean closed;
    private boolean acceptsCompression;
    private ProxyId proxy;
    private String name = "";
    private ZoneId zone;
    private long lastFrameReceivedAtNanos;
    private long lastKeepAliveSentAtNanos;
    private long lastLoadReportAtNanos;
    private long messagesWritten;

    ProxySession(Transport transport, long nowNanos) {
        this.transport = transport;
        this.openedAtNanos = nowNanos;
        this.lastFrameReceivedAtNanos = nowNanos;
        this.lastKeepAliveSentAtNanos = nowNanos;
        this.lastLoadReportAtNanos = nowNanos;
    }

    Transport transport() {
        return transport;
    }

    long openedAtNanos() {
        return openedAtNanos;
    }

    /** Records that the proxy's Hello was accepted. */
    void markHelloAccepted() {
        helloAccepted = true;
    }

    boolean isHelloAccepted() {
        return helloAccepted;
    }

    /**
     * Records that the proxy's Join was accepted.
     *
     * @param compressionAccepted whether the proxy accepts compressed frames
     */
    void join(ProxyId id, String proxyName, ZoneId proxyZone, boolean compressionAccepted) {
        proxy = id;
        name = proxyName;
        zone = proxyZone;
        acceptsCompression = compressionAccepted;
    }

    /** Returns whether the proxy has joined; still true after the session is closed. */
    boolean isJoined() {
        return proxy != null;
    }

    /** Returns the proxy's id, null before the proxy has joined. */
    ProxyId proxy() {
        return proxy;
    }

    /** Returns the proxy's name, empty before the proxy has joined. */
    String name() {
        return name;
    }

    /** Returns the proxy's zone, null before the proxy has joined. */
    ZoneId zone() {
        return zone;
    }

    boolean acceptsCompression() {
        return acceptsCompression;
    }

    /** Marks the session closed; returns whether it was open before. */
    boolean markClosed() {
        boolean wasOpen = !closed;
        closed = true;
        return wasOpen;
    }

    boolean isClosed() {
        return closed;
    }

    void recordFrameReceived(long nowNanos) {
        lastFrameReceivedAtNanos = nowNanos;
    }

    long lastFrameReceivedAtNanos() {
        return lastFrameReceivedAtNanos;
    }

    void recordKeepAliveSent(long nowNanos) {
        lastKeepAliveSentAtNanos = nowNanos;
    }

    long lastKeepAliveSentAtNanos() {
        return lastKeepAliveSentAtNanos;
    }

    void recordLoadReport(long nowNanos) {
        lastLoadReportAtNanos = nowNanos;
    }

    /** Returns when the last load report was received, or when the session opened if none was. */
    long lastLoadReportAtNanos() {
        return lastLoadReportAtNanos;
    }

    /** Counts a message towards the message limit from the time at which it is queued. */
    void recordMessageQueued(long nowNanos) {
        messageTimes.addLast(nowNanos);
    }

    /**
     * Returns the number of messages queued for this session within the last {@code windowNanos}.
     */
    int messagesQueuedWithin(long nowNanos, long windowNanos) {
        while (!messageTimes.isEmpty() && nowNanos - messageTimes.peekFirst() > windowNanos) {
            messageTimes.removeFirst();
        }
        return messageTimes.size();
    }

    /** Writes a message to the stream and records it as unacknowledged. */
    void write(byte[] message, UnacknowledgedMessage expected) {
        awaitAcknowledgement(expected);
        messagesWritten++;
        transport.write(message);
    }

    /** Records a message that was written to the stream as unacknowledged. */
    void awaitAcknowledgement(UnacknowledgedMessage message) {
        unacknowledged.addLast(message);
    }

    long messagesWritten() {
        return messagesWritten;
    }

    /**
     * Handles an acknowledgement, which acknowledges all earlier messages of the stream too.
     *
     * @return the message of this number; empty if this stream carried no such message or the
     *     message was acknowledged before
     */
    Optional<UnacknowledgedMessage> acknowledge(long number) {
        if (unacknowledged.stream().noneMatch(message -> message.number() == number)) {
            return Optional.empty();
        }
        UnacknowledgedMessage removed = unacknowledged.removeFirst();
        while (removed.number() != number) {
            removed = unacknowledged.removeFirst();
        }
        return Optional.of(removed);
    }

    int unacknowledgedMessages() {
        return unacknowledged.size();
    }

    /** Returns the total entries of the messages whose acknowledgement is overdue. */
    long overdueEntries(AcknowledgementDeadline deadline) {
        return unacknowledged.stream()
                .filter(message -> deadline.isOverdue(message.writtenAtNanos()))
                .mapToLong(UnacknowledgedMessage::entries)
                .sum();
    }

    /** Decides whether the acknowledgement of a message is overdue. */
    @FunctionalInterface
    interface AcknowledgementDeadline {
        boolean isOverdue(long writtenAtNanos);
    }

    /**
     * Subscribes the proxy to a table for some methods. As a method follows one table at a time,
     * these methods are removed from all other subscriptions.
     */
    void subscribe(TableId table, Set<MethodId> methods) {
        subscriptions.values().forEach(subscribed -> subscribed.removeAll(methods));
        subscriptions.put(table, new TreeSet<>(methods));
        subscriptions.values().removeIf(Set::isEmpty);
    }

    boolean isSubscribed() {
        return !subscriptions.isEmpty();
    }

    boolean isSubscribed(TableId table) {
        return subscriptions.containsKey(table);
    }

    /** Returns a live view of the subscribed tables, in the order of their ids. */
    Set<TableId> subscribedTables() {
        return Collections.unmodifiableSet(subscriptions.keySet());
    }

    /** Returns a copy of the methods that follow a subscribed table. */
    Set<MethodId> subscribedMethods(TableId table) {
        return new TreeSet<>(subscriptions.get(table));
    }

    /**
     * Records that the proxy could not apply a table's delta and needs the full table; does nothing
     * if the proxy is not subscribed to the table.
     */
    void requireFullUpdate(TableId table) {
        if (isSubscribed(table)) {
            pendingFullUpdates.add(table);
        }
    }

    boolean needsFullUpdates() {
        return !pendingFullUpdates.isEmpty();
    }

    /** Returns a copy of the tables that must be sent in full, in the order of their ids. */
    List<TableId> pendingFullUpdates() {
        return List.copyOf(pendingFullUpdates);
    }

    void clearFullUpdate(TableId table) {
        pendingFullUpdates.remove(table);
    }

    /** Records that a node's address is sent; returns whether it was not recorded before. */
    boolean recordAddressSent(NodeId node) {
        return sentAddresses.add(node);
    }

    /** Returns whether the address of none of the nodes was sent on the stream. */
    boolean lacksAllAddresses(Set<NodeId> nodes) {
        return Collections.disjoint(sentAddresses, nodes);
    }
}
