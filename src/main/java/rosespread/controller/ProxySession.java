package rosespread.controller;

import java.util.ArrayDeque;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.channel.Frame;

/** One proxy's stream, as the decision thread knows it. */
public final class ProxySession {
    /** What a stream can do; called on the decision thread, must not block. */
    public interface Transport {
        void write(byte[] frames);

        /** Bytes handed over that the socket has not taken. */
        long writeBufferBytes();

        /** Says why and closes. */
        void close(Frame.Reason reason, String text);

        String remoteAddress();
    }

    /** A message that was written and is not answered yet. */
    record UnacknowledgedMessage(
            long number,
            long round,
            int token,
            long orderedAtNanos,
            int entries,
            long writtenAtNanos) {}

    final Transport wire;
    final long openedAt;
    final ArrayDeque<UnacknowledgedMessage> marks = new ArrayDeque<>();
    final Set<NodeId> told = new TreeSet<>();
    final TreeMap<TableId, Set<MethodId>> bound = new TreeMap<>();
    boolean greeted;
    boolean unpacks;
    boolean closed;
    ProxyId proxy;
    String name = "";
    ZoneId zone;
    long heardAt;
    long keptAt;
    long messages;

    /** When its last sums came. */
    long reportedAt;

    final ArrayDeque<Long> written = new ArrayDeque<>();

    /** Tables that it could not follow and must be sent whole. */
    final TreeSet<TableId> owes = new TreeSet<>();

    ProxySession(Transport wire, long now) {
        this.wire = wire;
        this.openedAt = now;
        this.heardAt = now;
        this.keptAt = now;
        this.reportedAt = now;
    }

    /** Messages ordered for it within the span before now. */
    int writtenWithin(long now, long span) {
        while (!written.isEmpty() && now - written.peekFirst() > span) {
            written.removeFirst();
        }
        return written.size();
    }

    boolean joined() {
        return proxy != null;
    }

    /** A method follows one table at a time: a newer bind takes it from the older table. */
    void bind(TableId table, Set<MethodId> methods) {
        bound.values().forEach(held -> held.removeAll(methods));
        bound.put(table, new TreeSet<>(methods));
        bound.values().removeIf(Set::isEmpty);
    }
}
