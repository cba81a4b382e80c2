package rosespread.controller;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.store.TableLog;
import rosespread.validation.DurabilityTimeout;

/**
 * Sends messages to proxies one after the other at a rate of weight entries a second, each once the
 * log entries that it tells of are durable. A message that was sent waits at most in the buffer of
 * its own stream, so a proxy that reads slowly delays no other.
 *
 * <p>Owned by the event-loop thread.
 */
final class PacedChannel {
    private static final double NANOS_PER_SECOND = 1e9;

    /** How often durability is looked at while a message waits for it, unless the log wakes us. */
    private static final long DURABILITY_CHECK_NANOS = 2_000_000L;

    private record QueuedMessage(
            ProxySession session,
            List<byte[]> frames,
            ProxySession.UnacknowledgedMessage header,
            long requiredSequence) {
        int entries() {
            return header.entries();
        }

        long orderedAtNanos() {
            return header.orderedAtNanos();
        }
    }

    private final double entriesPerSecond;
    private final TableLog log;
    private final DurabilityTimeout durabilityTimeout;
    private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
    private long freeAtNanos = Long.MIN_VALUE;
    private long queuedEntries;
    private long maxQueuedEntries;
    private long messagesSent;
    private boolean waitedForLog;

    PacedChannel(double entriesPerSecond, TableLog log, DurabilityTimeout durabilityTimeout) {
        this.entriesPerSecond = entriesPerSecond;
        this.log = log;
        this.durabilityTimeout = durabilityTimeout;
    }

    /**
     * Queues a message.
     *
     * @param header its number and size; the time of writing is filled in once it is sent
     * @param requiredSequence the log's sequence that must be durable before the message leaves
     */
    void enqueue(
            ProxySession session,
            List<byte[]> frames,
            ProxySession.UnacknowledgedMessage header,
            long requiredSequence) {
        queue.addLast(new QueuedMessage(session, frames, header, requiredSequence));
        queuedEntries += header.entries();
        maxQueuedEntries = Math.max(maxQueuedEntries, queuedEntries);
    }

    /**
     * Sends what is due by now; returns when the next message is due, {@link Long#MAX_VALUE} if
     * none is queued.
     */
    long sendDue(long nowNanos) {
        while (!queue.isEmpty()) {
            QueuedMessage head = queue.peekFirst();
            long due = dueAt(head);
            if (due > nowNanos) {
                return due;
            }
            if (!isDurable(head, nowNanos)) {
                waitedForLog = true;
                return nowNanos + DURABILITY_CHECK_NANOS;
            }
            // After a wait for the log the pace starts from now: the backlog must not leave in a
            // burst.
            freeAtNanos = waitedForLog ? nowNanos : due;
            waitedForLog = false;
            send(head, nowNanos);
            queue.removeFirst();
            queuedEntries -= head.entries();
        }
        return Long.MAX_VALUE;
    }

    private long dueAt(QueuedMessage message) {
        return Math.max(freeAtNanos, message.orderedAtNanos())
                + (long) (message.entries() / entriesPerSecond * NANOS_PER_SECOND);
    }

    private boolean isDurable(QueuedMessage message, long nowNanos) {
        return durabilityTimeout.maySend(
                message.requiredSequence(),
                log.durable(),
                !log.fault().isEmpty(),
                nowNanos - message.orderedAtNanos());
    }

    private void send(QueuedMessage message, long nowNanos) {
        ProxySession.UnacknowledgedMessage header = message.header();
        long queuedMicros = (nowNanos - header.orderedAtNanos()) / 1000;
        byte[] mark =
                FrameWriter.bytes(
                        new Frame.Mark(
                                header.number(),
                                header.round(),
                                header.entries(),
                                (int) queuedEntries,
                                queuedMicros));
        messagesSent++;
        message.session()
                .write(
                        concatenate(message.frames(), mark),
                        new ProxySession.UnacknowledgedMessage(
                                header.number(),
                                header.round(),
                                header.token(),
                                header.orderedAtNanos(),
                                header.entries(),
                                nowNanos));
    }

    private static byte[] concatenate(List<byte[]> frames, byte[] last) {
        int length = last.length;
        for (byte[] frame : frames) {
            length += frame.length;
        }
        byte[] all = new byte[length];
        int offset = 0;
        for (byte[] frame : frames) {
            System.arraycopy(frame, 0, all, offset, frame.length);
            offset += frame.length;
        }
        System.arraycopy(last, 0, all, offset, last.length);
        return all;
    }

    /** Drops what is queued for a session that is closed. */
    void discard(ProxySession session) {
        for (Iterator<QueuedMessage> each = queue.iterator(); each.hasNext(); ) {
            QueuedMessage message = each.next();
            if (message.session() == session) {
                queuedEntries -= message.entries();
                each.remove();
            }
        }
    }

    long queuedEntries() {
        return queuedEntries;
    }

    long maxQueuedEntries() {
        return maxQueuedEntries;
    }

    DurabilityTimeout durabilityTimeout() {
        return durabilityTimeout;
    }

    long messagesSent() {
        return messagesSent;
    }
}
