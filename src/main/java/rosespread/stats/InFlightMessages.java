package rosespread.stats;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.ProxyId;

/**
 * The messages that proxies have not acknowledged yet, with a running total of their entries, so
 * that asking how much may still wait in the channel costs nothing however many proxies there are.
 * Each proxy's messages have rising sequence numbers. Not safe for use by several threads.
 */
public final class InFlightMessages {
    /** The bits of a sequence number that travel as the acknowledgement token of a message. */
    private static final int TOKEN_BITS = 0xFFFF;

    private record Message(long sequence, double entries, long writtenAt) {}

    private final Map<ProxyId, ArrayDeque<Message>> unacknowledged = new TreeMap<>();
    private int messages;
    private double entries;

    /**
     * A message was written.
     *
     * @param proxy its receiver
     * @param sequence its number, higher than those before
     * @param messageEntries what it takes of the channel
     * @param now clock reading in nanoseconds
     */
    public void written(ProxyId proxy, long sequence, double messageEntries, long now) {
        unacknowledged
                .computeIfAbsent(proxy, first -> new ArrayDeque<>())
                .addLast(new Message(sequence, messageEntries, now));
        messages++;
        entries += messageEntries;
    }

    /**
     * A proxy acknowledged a token, and so all that was written to it before.
     *
     * @return the sequence number that the token stands for, 0 if no unacknowledged message carries
     *     it
     */
    public long acknowledged(ProxyId proxy, int token) {
        ArrayDeque<Message> open = unacknowledged.get(proxy);
        if (open == null) {
            return 0;
        }
        for (Message message : open) {
            if ((message.sequence() & TOKEN_BITS) == token) {
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

    /** What was written to a proxy before this time will not be acknowledged any more. */
    public void expire(ProxyId proxy, long before) {
        ArrayDeque<Message> open = unacknowledged.get(proxy);
        while (open != null && !open.isEmpty() && open.peekFirst().writtenAt() < before) {
            subtract(open.removeFirst());
        }
    }

    /** A proxy's stream ended: what was on its way to it is lost. */
    public void forget(ProxyId proxy) {
        ArrayDeque<Message> open = unacknowledged.remove(proxy);
        if (open != null) {
            open.forEach(this::subtract);
        }
    }

    private void subtract(Message message) {
        messages--;
        entries = messages == 0 ? 0 : entries - message.entries();
    }

    /** The entries of all unacknowledged messages. */
    public double entries() {
        return entries;
    }
}
