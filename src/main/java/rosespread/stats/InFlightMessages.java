package rosespread.stats;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.ProxyId;

/**
 * The messages that proxies have not acknowledged yet, with a running total of the entries that may
 * still be queued in the channel; the total is read in constant time for any number of proxies. All
 * messages of a round have the same sequence number, and the channel sends them before those of
 * later rounds. Not thread-safe.
 */
public final class InFlightMessages {
    /** Mask of the sequence-number bits that are sent as the message's acknowledgement token. */
    private static final int TOKEN_MASK = 0xFFFF;

    private record Message(long sequence, double entries, long writtenAt) {}

    /** The messages of one round that are not acknowledged and not known to have been sent. */
    private static final class QueuedRound {
        private final long writtenAt;
        private int messages;
        private double entries;

        private QueuedRound(long writtenAt) {
            this.writtenAt = writtenAt;
        }
    }

    private final Map<ProxyId, ArrayDeque<Message>> unacknowledged = new TreeMap<>();
    private final TreeMap<Long, QueuedRound> queuedBySequence = new TreeMap<>();
    private double entries;

    /**
     * Adds a message that was written.
     *
     * @param proxy the receiver of the message
     * @param sequence the message's sequence number, higher than all earlier ones of the proxy
     * @param messageEntries the number of entries that the message occupies in the channel
     * @param now clock reading in nanoseconds
     */
    public void written(ProxyId proxy, long sequence, double messageEntries, long now) {
        unacknowledged
                .computeIfAbsent(proxy, first -> new ArrayDeque<>())
                .addLast(new Message(sequence, messageEntries, now));
        QueuedRound round =
                queuedBySequence.computeIfAbsent(sequence, first -> new QueuedRound(now));
        round.messages++;
        round.entries += messageEntries;
        entries += messageEntries;
    }

    /**
     * Removes the message with a token that a proxy acknowledged, and the proxy's earlier messages.
     *
     * @return the sequence number of the message with the token, 0 if the proxy has no such
     *     unacknowledged message
     */
    public long acknowledged(ProxyId proxy, int token) {
        ArrayDeque<Message> pending = unacknowledged.get(proxy);
        if (pending == null) {
            return 0;
        }
        for (Message message : pending) {
            if ((message.sequence() & TOKEN_MASK) == token) {
                removeUpTo(pending, message.sequence());
                return message.sequence();
            }
        }
        return 0;
    }

    private void removeUpTo(ArrayDeque<Message> pending, long sequence) {
        while (!pending.isEmpty() && pending.peekFirst().sequence() <= sequence) {
            subtract(pending.removeFirst());
        }
    }

    /**
     * Removes the messages written to a proxy before this time; their acknowledgements are no
     * longer awaited.
     */
    public void expire(ProxyId proxy, long before) {
        ArrayDeque<Message> pending = unacknowledged.get(proxy);
        while (pending != null && !pending.isEmpty() && pending.peekFirst().writtenAt() < before) {
            subtract(pending.removeFirst());
        }
    }

    /** Removes all messages to a proxy whose stream ended, since they are lost. */
    public void forget(ProxyId proxy) {
        ArrayDeque<Message> pending = unacknowledged.remove(proxy);
        if (pending != null) {
            pending.forEach(this::subtract);
        }
    }

    private void subtract(Message message) {
        QueuedRound round = queuedBySequence.get(message.sequence());
        if (round == null) {
            return;
        }
        round.messages--;
        round.entries -= message.entries();
        entries -= message.entries();
        if (round.messages == 0) {
            queuedBySequence.remove(message.sequence());
        }
        clearRoundingRemainder();
    }

    /**
     * Stops counting the messages of all rounds before this sequence number as queued, since the
     * channel has sent these messages. They can still be acknowledged.
     */
    public void sentBefore(long sequence) {
        removeQueued(queuedBySequence.headMap(sequence));
    }

    /**
     * Stops counting the messages of all rounds written before this time as queued. They can still
     * be acknowledged.
     */
    public void assumeSent(long before) {
        queuedBySequence.entrySet().stream()
                .filter(round -> round.getValue().writtenAt >= before)
                .findFirst()
                .ifPresentOrElse(
                        round -> sentBefore(round.getKey()), () -> removeQueued(queuedBySequence));
    }

    private void removeQueued(Map<Long, QueuedRound> sent) {
        entries -= sent.values().stream().mapToDouble(round -> round.entries).sum();
        sent.clear();
        clearRoundingRemainder();
    }

    private void clearRoundingRemainder() {
        if (queuedBySequence.isEmpty()) {
            entries = 0;
        }
    }

    /** Returns the total number of entries that may still be queued in the channel. */
    public double entries() {
        return entries;
    }
}
