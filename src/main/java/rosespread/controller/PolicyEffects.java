package rosespread.controller;

import rosespread.api.NodeId;
import rosespread.discovery.ListedNode;
import rosespread.eventloop.RoundScheduler;

/**
 * Carries out what the policy orders beside tables: health checks, following the node list, timers.
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

    /** Checks a node's health; one that is no longer known is passed over. */
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
