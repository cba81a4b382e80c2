package rosespread.testbed;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import rosespread.api.NodeId;

/**
 * A proxy's own record of nodes with {@code maxFailures} consecutive failures. The proxy avoids
 * such a node for a random time of 2 to 6 s as long as other nodes are available. Confined to the
 * loop's thread.
 */
final class NodeAvoidance {
    private static final long MIN_AVOIDANCE_NANOS = 2_000_000_000L;
    private static final long MAX_EXTRA_AVOIDANCE_NANOS = 4_000_000_000L;

    private final int maxFailures;
    private final RandomGenerator random;
    private final Map<NodeId, Integer> consecutiveFailures = new HashMap<>();
    private final Map<NodeId, Long> avoidedUntilNanos = new HashMap<>();

    /**
     * @param maxFailures consecutive failures after which a node is avoided; 0 to avoid none
     */
    NodeAvoidance(int maxFailures, RandomGenerator random) {
        this.maxFailures = maxFailures;
        this.random = random;
    }

    void reset() {
        consecutiveFailures.clear();
        avoidedUntilNanos.clear();
    }

    void attemptSucceeded(NodeId node) {
        consecutiveFailures.remove(node);
    }

    void attemptFailed(NodeId node, long nanos) {
        int failures = consecutiveFailures.merge(node, 1, Integer::sum);
        if (maxFailures > 0 && failures >= maxFailures) {
            consecutiveFailures.remove(node);
            avoidedUntilNanos.put(
                    node, nanos + MIN_AVOIDANCE_NANOS + random.nextLong(MAX_EXTRA_AVOIDANCE_NANOS));
        }
    }

    /** Returns the nodes avoided at a time, as a new set that the caller may change. */
    Set<NodeId> avoidedAt(long nanos) {
        Set<NodeId> avoided = new HashSet<>();
        avoidedUntilNanos.forEach(
                (node, until) -> {
                    if (until > nanos) {
                        avoided.add(node);
                    }
                });
        return avoided;
    }
}
