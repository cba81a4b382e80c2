package rosespread.controller;

import java.util.Set;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.discovery.ListedNode;

/**
 * When nodes started, by {@link System#nanoTime()}. It is worked out once for each start that the
 * list names: wall clock and monotonic clock drift, and a start that moves would be taken for
 * another one.
 *
 * <p>Owned by the event-loop thread.
 */
final class NodeStartTimes {
    /** The start of a node that the list gives no start for: it has long been warm. */
    static final long LONG_AGO = Long.MIN_VALUE;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record Start(long wallMillis, long nanos) {}

    private final TreeMap<NodeId, Start> starts = new TreeMap<>();
    private final EventClock clock;

    NodeStartTimes(EventClock clock) {
        this.clock = clock;
    }

    /** Returns when a node started, {@link #LONG_AGO} if the list names no start. */
    long startedNanos(ListedNode node) {
        if (node.startedMillis() == 0) {
            return LONG_AGO;
        }
        Start known = starts.get(node.id());
        if (known == null || known.wallMillis() != node.startedMillis()) {
            long ageMillis = Math.max(0, clock.wallMillis() - node.startedMillis());
            known = new Start(node.startedMillis(), clock.nowNanos() - ageMillis * NANOS_PER_MILLI);
            starts.put(node.id(), known);
        }
        return known.nanos();
    }

    void retain(Set<NodeId> nodes) {
        starts.keySet().retainAll(nodes);
    }
}
