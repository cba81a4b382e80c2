package rosespread.controller;

import java.util.Set;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.discovery.ListedNode;

/**
 * Start times of nodes by {@link System#nanoTime()}. A start time is computed only once for each
 * start that the node list names: wall clock and monotonic clock drift apart, and a start time that
 * changes would be taken for another start.
 *
 * <p>Owned by the event-loop thread.
 */
final class NodeStartTimes {
    /** Start time of a node for which the list names none; such a node counts as warm. */
    static final long UNKNOWN_START = Long.MIN_VALUE;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private record Start(long wallMillis, long nanos) {}

    private final TreeMap<NodeId, Start> starts = new TreeMap<>();
    private final EventClock clock;

    NodeStartTimes(EventClock clock) {
        this.clock = clock;
    }

    /** Returns a node's start time, {@link #UNKNOWN_START} if the list names none. */
    long startedNanos(ListedNode node) {
        if (node.startedMillis() == 0) {
            return UNKNOWN_START;
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
