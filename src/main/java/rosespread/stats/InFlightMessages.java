package rosespread.stats;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.ProxyId;

/**
 * The messages that proxies have not answered yet, with a running total of their lines, so that
 * asking how much may still wait in the channel costs nothing however many proxies there are.
 */
public final class InFlightMessages {
    /** The bits of a sequence number that travel as the mark of a message. */
    private static final int MARK_BITS = 0xFFFF;

    private record Message(long sequence, double lines, long at) {}

    private final Map<ProxyId, ArrayDeque<Message>> unanswered = new TreeMap<>();
    private int messages;
    private double entries;

    /** A message of so many lines was written. */
    public void written(ProxyId proxy, long sequence, double itsLines, long now) {
        unanswered
                .computeIfAbsent(proxy, first -> new ArrayDeque<>())
                .addLast(new Message(sequence, itsLines, now));
        messages++;
        entries += itsLines;
    }

    /**
     * A proxy answered a mark, and so all that was written to it before.
     *
     * @return the sequence number that the mark stands for, 0 if no unanswered message carries it
     */
    public long acknowledged(ProxyId proxy, int mark) {
        ArrayDeque<Message> open = unanswered.getOrDefault(proxy, new ArrayDeque<>());
        for (Message message : open) {
            if ((message.sequence() & MARK_BITS) == mark) {
                removeUpTo(open, message.sequence());
                return message.sequence();
            }
        }
        return 0;
    }

    private void removeUpTo(ArrayDeque<Message> open, long sequence) {
        while (!open.isEmpty() && open.peekFirst().sequence() <= sequence) {
            subtract(open.removeFirst());
        }
    }

    /** What was written before this time to a proxy will not be answered any more. */
    public void expire(ProxyId proxy, long before) {
        ArrayDeque<Message> open = unanswered.get(proxy);
        while (open != null && !open.isEmpty() && open.peekFirst().at() < before) {
            subtract(open.removeFirst());
        }
    }

    /** A proxy's stream ended: what was on its way to it is lost. */
    public void forget(ProxyId proxy) {
        ArrayDeque<Message> open = unanswered.remove(proxy);
        if (open != null) {
            open.forEach(this::subtract);
        }
    }

    private void subtract(Message message) {
        messages--;
        entries = messages == 0 ? 0 : entries - message.lines();
    }

    /** The lines of all unanswered messages. */
    public double entries() {
        return entries;
    }
}
