package rosespread.controller;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.List;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.store.TableLog;
import rosespread.validation.DurabilityTimeout;

/**
 * The conductor's way out: messages leave one after the other at the settings' pace, in lines a
 * second. A message that has left waits at most in its own stream, so a proxy that reads slowly
 * holds up nobody.
 */
final class PacedChannel {
    private static final double SECOND = 1e9;

    /**
     * How often a message that waits for the disk is looked at, unless the disk says so earlier.
     */
    private static final long LOOK_EVERY = 2_000_000L;

    private record Waiting(
            ProxySession link,
            List<byte[]> frames,
            int lines,
            ProxySession.Marked marked,
            long after) {}

    private final double linesPerSecond;
    private final TableLog log;
    private final DurabilityTimeout patience;
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private long freeAt = Long.MIN_VALUE;
    private long lines;
    private long most;
    private long left;
    private boolean held;

    PacedChannel(double linesPerSecond, TableLog log, DurabilityTimeout patience) {
        this.linesPerSecond = linesPerSecond;
        this.log = log;
        this.patience = patience;
    }

    /**
     * @param after the sequence that must be kept before the message leaves
     */
    void offer(
            ProxySession link,
            List<byte[]> frames,
            int count,
            ProxySession.Marked marked,
            long after) {
        queue.addLast(new Waiting(link, frames, count, marked, after));
        lines += count;
        most = Math.max(most, lines);
    }

    /**
     * Lets out what is due by now; returns when the next is due, the largest number if nothing
     * waits.
     */
    long pump(long now) {
        while (!queue.isEmpty()) {
            Waiting head = queue.peekFirst();
            long due =
                    Math.max(freeAt, head.marked.orderedAt())
                            + (long) (head.lines / linesPerSecond * SECOND);
            if (due > now) {
                return due;
            }
            if (!patience.maySend(
                    head.after,
                    log.durable(),
                    !log.fault().isEmpty(),
                    now - head.marked.orderedAt())) {
                held = true;
                return now + LOOK_EVERY;
            }
            // After a wait for the disk the pace begins anew: what gathered does not leave in a
            // burst.
            freeAt = held ? now : due;
            held = false;
            write(head, now);
            queue.removeFirst();
            lines -= head.lines;
        }
        return Long.MAX_VALUE;
    }

    private void write(Waiting message, long now) {
        long queued = (now - message.marked.orderedAt()) / 1000;
        byte[] mark =
                FrameWriter.bytes(
                        new Frame.Mark(
                                message.marked.number(),
                                message.marked.round(),
                                message.lines,
                                (int) lines,
                                queued));
        int length = mark.length;
        for (byte[] frame : message.frames) {
            length += frame.length;
        }
        byte[] all = new byte[length];
        int at = 0;
        for (byte[] frame : message.frames) {
            System.arraycopy(frame, 0, all, at, frame.length);
            at += frame.length;
        }
        System.arraycopy(mark, 0, all, at, mark.length);
        ProxySession.Marked marked = message.marked;
        message.link.marks.addLast(
                new ProxySession.Marked(
                        marked.number(),
                        marked.round(),
                        marked.mark(),
                        marked.orderedAt(),
                        message.lines,
                        now));
        message.link.messages++;
        left++;
        message.link.wire.write(all);
    }

    /** What waits for a stream that is gone is lost, as what was on its way. */
    void drop(ProxySession link) {
        for (Iterator<Waiting> i = queue.iterator(); i.hasNext(); ) {
            Waiting message = i.next();
            if (message.link == link) {
                lines -= message.lines;
                i.remove();
            }
        }
    }

    long linesWaiting() {
        return lines;
    }

    long mostWaiting() {
        return most;
    }

    DurabilityTimeout patience() {
        return patience;
    }

    long messagesLeft() {
        return left;
    }
}
