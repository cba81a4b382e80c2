package rosespread.policy;

import java.util.random.RandomGenerator;
import rosespread.api.EventHandler.HealthCheckResult;
import rosespread.api.PolicySettings;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;

/** Schedules health checks and counts their results as attempts in a node's failure ratio. */
final class HealthCheckScheduler {
    /** Number of attempts that one health check counts as. */
    private static final double ATTEMPTS_PER_CHECK = 3;

    /** Failure ratio above which a node is suspect and is checked at the shorter interval. */
    private static final double SUSPECT_FAILURE_RATIO = 0.12;

    /** Check interval of suspect nodes, short so that their state is known soon. */
    private static final long SUSPECT_INTERVAL_NANOS = TimeUnits.SECOND;

    /** Check interval of the other nodes, longer as checks use capacity of the nodes. */
    private static final long INTERVAL_NANOS = 4 * TimeUnits.SECOND;

    /** Largest random reduction of an interval, so that nodes are not all checked at once. */
    private static final long JITTER_NANOS = SUSPECT_INTERVAL_NANOS / 2;

    private final PolicySettings settings;
    private final NodeRegistry nodes;
    private final RandomGenerator random;

    HealthCheckScheduler(PolicySettings settings, NodeRegistry nodes, RandomGenerator random) {
        this.settings = settings;
        this.nodes = nodes;
        this.random = random;
    }

    /** Requests the health checks that are due, if the settings allow health checks. */
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

    /**
     * Counts a check as {@link #ATTEMPTS_PER_CHECK} attempts, all of them failed unless the check
     * passed. A rejected check is not counted, as it says nothing about the node's health.
     */
    void addResult(Node node, HealthCheckResult result, long now) {
        if (result != HealthCheckResult.REJECTED) {
            double failed = result == HealthCheckResult.PASSED ? 0 : ATTEMPTS_PER_CHECK;
            node.addAttempts(now, ATTEMPTS_PER_CHECK, failed);
        }
    }
}
