package rosespread.scenario;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.NodeId;

/**
 * Drains and starts of nodes as shown by the node list; starts in nanoseconds since the policy's
 * first round.
 */
final class NodeObservations {
    private final Set<NodeId> draining = new TreeSet<>();
    private final Map<NodeId, Long> startedNanos = new TreeMap<>();

    void started(NodeId node, long nanos) {
        startedNanos.put(node, nanos);
    }

    void setDraining(NodeId node, boolean isDraining) {
        if (isDraining) {
            draining.add(node);
        } else {
            draining.remove(node);
        }
    }

    /** Whether the node was listed with a start. */
    boolean hasStarted(NodeId node) {
        return startedNanos.containsKey(node);
    }

    Optional<NodeId> firstDraining() {
        return draining.stream().findFirst();
    }

    /** The first node that started within this time before {@code now} and does not drain. */
    Optional<NodeId> firstStartedWithin(long nanos, long now) {
        return startedNanos.entrySet().stream()
                .filter(started -> now - started.getValue() < nanos)
                .map(Map.Entry::getKey)
                .filter(node -> !draining.contains(node))
                .findFirst();
    }
}
