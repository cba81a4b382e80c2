package rosespread.policy;

import java.util.random.RandomGenerator;
import rosespread.api.EventHandler.HealthCheckResult;
import rosespread.api.PolicySettings;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;

/** Which node is health-checked when, and what a result counts as evidence. */
final class HealthCheckScheduler {
    /** Attempts that a health check counts for. */
    private static final double ATTEMPTS_PER_CHECK = 3;

    /** Failure ratio above which a node is suspect. */
    private static final double SUSPECT_FAILURE_RATIO = 0.12;

    /** Suspect nodes are checked at this interval, so that they are soon known. */
    private static final long SUSPECT_INTERVAL_NANOS = TimeUnits.SECOND;

    /** The others are checked at this interval, as checks take capacity. */
    private static final long INTERVAL_NANOS = 4 * TimeUnits.SECOND;

    /** Intervals are shortened by up to this, so that nodes are not checked all at once. */
    private static final long JITTER_NANOS = SUSPECT_INTERVAL_NANOS / 2;

    private final PolicySettings settings;
    private final NodeRegistry nodes;
    private final RandomGenerator random;

    HealthCheckScheduler(PolicySettings settings, NodeRegistry nodes, RandomGenerator random) {
        this.settings = settings;
        this.nodes = nodes;
        this.random = random;
    }

    /** Orders the health checks that are due. */
    void scheduleDue(RoundContext round) {
        if (!settings.healthChecksAllowed()) {
            return;
        }
        long now = round.now();
        for (Node node : nodes.ready()) {
            boolean suspect = node.ejected() || node.failureRatio(now) > SUSPECT_FAILURE_RATIO;
            long interval = suspect ? SUSPECT_INTERVAL_NANOS : INTERVAL_NANOS;
            if (now - node.healthCheckedAt() >= interval) {
                node.startHealthCheckInterval(now - random.nextLong(JITTER_NANOS));
                round.actions().checkHealth(node.id());
            }
        }
    }

    /** Adds a result to the evidence; one that was rejected tells nothing of the node's health. */
    void addResult(Node node, HealthCheckResult result, long now) {
        if (result != HealthCheckResult.REJECTED) {
            double failed = result == HealthCheckResult.PASSED ? 0 : ATTEMPTS_PER_CHECK;
            node.addAttempts(now, ATTEMPTS_PER_CHECK, failed);
        }
    }
}
