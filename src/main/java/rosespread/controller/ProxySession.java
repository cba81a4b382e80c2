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
 * One proxy's stream: how far its handshake has come, the tables it is subscribed to, and the
 * messages that it has not acknowledged. Times are those of {@link System#nanoTime()}.
 *
 * <p>Owned by the event-loop thread.
 */
public final class ProxySession {
    /** The outgoing half of a stream. Called on the event-loop thread; no method may block. */
    public interface Transport {
        /** Hands over complete frames to be sent. */
        void write(byte[] frames);

        /** Returns the bytes handed over that the socket has not taken. */
        long writeBufferBytes();

        /** Sends the reason if the peer can still be expected to read it, and closes. */
        void close(Frame.Reason reason, String text);

        /** Returns the peer's address, for logs. */
        String remoteAddress();
    }

    /**
     * A message that the proxy has to acknowledge.
     *
     * @param number the message's number, which the acknowledgement repeats
     * @param round the number of the round's first message
     * @param token the policy's acknowledgement token, negative if it asked for none
     * @param orderedAtNanos when the policy ordered it
     * @param entries what it counts on the channel, in weight entries
     * @param writtenAtNanos when it was written to the stream
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
    private final Set<NodeId> introducedNodes = new TreeSet<>();
    private final TreeMap<TableId, Set<MethodId>> subscriptions = new TreeMap<>();
    private final TreeSet<TableId> pendingFullUpdates = new TreeSet<>();
    private final ArrayDeque<Long> messageTimes = new ArrayDeque<>();
    private boolean greeted;
    private boolean closed;
    private boolean acceptsCompression;
    private ProxyId proxy;
    private String name = "";
    private ZoneId zone;
    private long receivedAtNanos;
    private long keepAliveAtNanos;
    private long reportedAtNanos;
    private long messagesWritten;

    ProxySession(Transport transport, long nowNanos) {
        this.transport = transport;
        this.openedAtNanos = nowNanos;
        this.receivedAtNanos = nowNanos;
        this.keepAliveAtNanos = nowNanos;
        this.reportedAtNanos = nowNanos;
    }

    Transport transport() {
        return transport;
    }

    long openedAtNanos() {
        return openedAtNanos;
    }

    /** The proxy's Hello was accepted. */
    void markGreeted() {
        greeted = true;
    }

    boolean isGreeted() {
        return greeted;
    }

    /** The proxy's Join was accepted. */
    void join(ProxyId id, String proxyName, ZoneId proxyZone, boolean decompresses) {
        proxy = id;
        name = proxyName;
        zone = proxyZone;
        acceptsCompression = decompresses;
    }

    /** Whether the proxy has joined; stays true after the session is closed. */
    boolean isJoined() {
        return proxy != null;
    }

    /** Returns the number of the proxy, null before it has joined. */
    ProxyId proxy() {
        return proxy;
    }

    /** Returns the proxy's name, empty before it has joined. */
    String name() {
        return name;
    }

    /** Returns the proxy's zone, null before it has joined. */
    ZoneId zone() {
        return zone;
    }

    boolean acceptsCompression() {
        return acceptsCompression;
    }

    /** Marks the session closed; returns whether it was open until now. */
    boolean markClosed() {
        boolean wasOpen = !closed;
        closed = true;
        return wasOpen;
    }

    boolean isClosed() {
        return closed;
    }

    void recordFrameReceived(long nowNanos) {
        receivedAtNanos = nowNanos;
    }

    long receivedAtNanos() {
        return receivedAtNanos;
    }

    void recordKeepAliveSent(long nowNanos) {
        keepAliveAtNanos = nowNanos;
    }

    long keepAliveAtNanos() {
        return keepAliveAtNanos;
    }

    void recordLoadReport(long nowNanos) {
        reportedAtNanos = nowNanos;
    }

    /** Returns when the last load report came; when the session opened if there was none. */
    long reportedAtNanos() {
        return reportedAtNanos;
    }

    /** Counts a message towards the session's message limit, from the moment it is queued. */
    void recordMessageQueued(long nowNanos) {
        messageTimes.addLast(nowNanos);
    }

    /** Returns the messages queued for this session within the span before now. */
    int messagesQueuedWithin(long nowNanos, long spanNanos) {
        while (!messageTimes.isEmpty() && nowNanos - messageTimes.peekFirst() > spanNanos) {
            messageTimes.removeFirst();
        }
        return messageTimes.size();
    }

    /** Hands a message to the stream and expects its acknowledgement. */
    void write(byte[] message, UnacknowledgedMessage expected) {
        awaitAcknowledgement(expected);
        messagesWritten++;
        transport.write(message);
    }

    /** Expects the acknowledgement of a message that was written to the stream. */
    void awaitAcknowledgement(UnacknowledgedMessage message) {
        unacknowledged.addLast(message);
    }

    long messagesWritten() {
        return messagesWritten;
    }

    /**
     * Takes an acknowledgement, which stands for all earlier messages of the stream too.
     *
     * @return the message, empty if none of this number was written on this stream or it was
     *     acknowledged before
     */
    Optional<UnacknowledgedMessage> acknowledge(long number) {
        if (unacknowledged.stream().noneMatch(message -> message.number() == number)) {
            return Optional.empty();
        }
        UnacknowledgedMessage first = unacknowledged.removeFirst();
        while (first.number() != number) {
            first = unacknowledged.removeFirst();
        }
        return Optional.of(first);
    }

    int unacknowledgedMessages() {
        return unacknowledged.size();
    }

    /** Returns the entries of messages whose acknowledgement is overdue. */
    long overdueEntries(AcknowledgementDeadline deadline) {
        return unacknowledged.stream()
                .filter(message -> deadline.isOverdue(message.writtenAtNanos()))
                .mapToLong(UnacknowledgedMessage::entries)
                .sum();
    }

    /** Decides whether an acknowledgement should have come by now. */
    @FunctionalInterface
    interface AcknowledgementDeadline {
        boolean isOverdue(long writtenAtNanos);
    }

    /** A method follows one table at a time: a newer subscription takes it from the older table. */
    void subscribe(TableId table, Set<MethodId> methods) {
        subscriptions.values().forEach(held -> held.removeAll(methods));
        subscriptions.put(table, new TreeSet<>(methods));
        subscriptions.values().removeIf(Set::isEmpty);
    }

    boolean isSubscribed() {
        return !subscriptions.isEmpty();
    }

    boolean isSubscribed(TableId table) {
        return subscriptions.containsKey(table);
    }

    /** Returns a live view of the subscribed tables, in their order. */
    Set<TableId> subscribedTables() {
        return Collections.unmodifiableSet(subscriptions.keySet());
    }

    /** Returns a copy of the methods that follow a subscribed table. */
    Set<MethodId> subscribedMethods(TableId table) {
        return new TreeSet<>(subscriptions.get(table));
    }

    /** The proxy could not follow a table's delta; one that it is not subscribed to is ignored. */
    void requireFullUpdate(TableId table) {
        if (isSubscribed(table)) {
            pendingFullUpdates.add(table);
        }
    }

    boolean needsFullUpdates() {
        return !pendingFullUpdates.isEmpty();
    }

    /** Returns a copy of the tables that must be sent in full, in their order. */
    List<TableId> pendingFullUpdates() {
        return List.copyOf(pendingFullUpdates);
    }

    void clearFullUpdate(TableId table) {
        pendingFullUpdates.remove(table);
    }

    /** Remembers that the stream has a node's address; returns whether it had not. */
    boolean introduce(NodeId node) {
        return introducedNodes.add(node);
    }

    /** Whether the stream has the address of none of the nodes. */
    boolean knowsNoneOf(Set<NodeId> nodes) {
        return Collections.disjoint(introducedNodes, nodes);
    }
}
