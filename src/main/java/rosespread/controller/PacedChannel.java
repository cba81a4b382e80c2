package rosespread.controller;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.store.TableLog;
import rosespread.validation.DurabilityTimeout;

/**
 * Sends messages to proxies one at a time, limited to a rate in weight entries per second. Each
 * message waits until the log entries that it depends on are durable, or until its {@link
 * DurabilityTimeout} lets it be sent without them. Once sent, a message waits only in the write
 * buffer of its own stream, so a proxy that reads slowly does not delay other proxies.
 *
 * <p>Owned by the event-loop thread.
 */
final class PacedChannel {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Interval at which the channel checks again whether the log entry that a message waits for is
     * durable, unless the log wakes the event loop earlier.
     */
    private static final long DURABILITY_CHECK_INTERVAL_NANOS = 2_000_000L;

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
     * @param header the number, round, token and size of the message; its write time is replaced by
     *     the actual time when the message is sent
     * @param requiredSequence the sequence number of the log entry that must be durable before the
     *     message is sent
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
     * Sends the messages that are due.
     *
     * @return when to call again, in nanoseconds of {@link System#nanoTime()}; {@link
     *     Long#MAX_VALUE} if no message is queued
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
                return nowNanos + DURABILITY_CHECK_INTERVAL_NANOS;
            }
            // After a wait for the log, the next message is paced from the current time. Otherwise
            // the queued messages would be sent in a burst.
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
        byte[] concatenated = new byte[length];
        int offset = 0;
        for (byte[] frame : frames) {
            System.arraycopy(frame, 0, concatenated, offset, frame.length);
            offset += frame.length;
        }
        System.arraycopy(last, 0, concatenated, offset, last.length);
        return concatenated;
    }

    /** Removes the queued messages of a closed session. */
    void discard(ProxySession session) {
        for (Iterator<QueuedMessage> messages = queue.iterator(); messages.hasNext(); ) {
            QueuedMessage message = messages.next();
            if (message.session() == session) {
                queuedEntries -= message.entries();
                messages.remove();
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
