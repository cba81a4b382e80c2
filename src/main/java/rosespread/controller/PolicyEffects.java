package rosespread.controller;

import rosespread.api.NodeId;
import rosespread.discovery.ListedNode;
import rosespread.eventloop.RoundScheduler;

/**
 * Performs the policy's actions that do not concern tables: starting health checks, watching the
 * node list and starting timers.
 *
 * <p>Used on the event-loop thread.
 */
final class PolicyEffects {
    private final ControllerState.Environment environment;
    private final NodeDirectory directory;
    private final RoundScheduler rounds;
    private final EventClock clock;

    PolicyEffects(
            ControllerState.Environment environment,
            NodeDirectory directory,
            RoundScheduler rounds,
            EventClock clock) {
        this.environment = environment;
        this.directory = directory;
        this.rounds = rounds;
        this.clock = clock;
    }

    /** Starts a health check of a node; does nothing if the node is no longer known. */
    void checkHealth(NodeId id) {
        ListedNode node = directory.known().get(id);
        if (node != null) {
            environment.checkHealth(node);
        }
    }

    void watchNodes() {
        environment.watchNodes();
    }

    void startTimer(long nanos) {
        rounds.scheduleAt(clock.nowNanos() + nanos);
    }
}
