package rosespread.testbed;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import rosespread.api.NodeId;

/**
 * A proxy's own memory of nodes that failed several times in a row, which it avoids for a while as
 * long as there are others. Confined to the loop's thread.
 */
final class NodeAvoidance {
    private static final long MIN_AVOIDED_NANOS = 2_000_000_000L;
    private static final long MAX_EXTRA_NANOS = 4_000_000_000L;

    private final int maxFailures;
    private final RandomGenerator random;
    private final Map<NodeId, Integer> failuresInRow = new HashMap<>();
    private final Map<NodeId, Long> avoidedUntil = new HashMap<>();

    /**
     * @param maxFailures failures in a row after which a node is avoided; 0: it never is
     */
    NodeAvoidance(int maxFailures, RandomGenerator random) {
        this.maxFailures = maxFailures;
        this.random = random;
    }

    void reset() {
        failuresInRow.clear();
        avoidedUntil.clear();
    }

    void attemptSucceeded(NodeId node) {
        failuresInRow.remove(node);
    }

    void attemptFailed(NodeId node, long nanos) {
        int failures = failuresInRow.merge(node, 1, Integer::sum);
        if (maxFailures > 0 && failures >= maxFailures) {
            failuresInRow.remove(node);
            avoidedUntil.put(node, nanos + MIN_AVOIDED_NANOS + random.nextLong(MAX_EXTRA_NANOS));
        }
    }

    /** A new set of the nodes that are avoided at a time. */
    Set<NodeId> avoidedAt(long nanos) {
        Set<NodeId> avoided = new HashSet<>();
        avoidedUntil.forEach(
                (node, until) -> {
                    if (until > nanos) {
                        avoided.add(node);
                    }
                });
        return avoided;
    }
}
