package rosespread.policy;

import rosespread.api.PolicySettings;
import rosespread.policy.state.Node;

/** Nodes that started lately: when they may take load, and how much by now. */
final class SlowStart {
    /** Warming nodes are sent at most this multiple of what they can do by now. */
    private static final double MAX_LOAD = 1.2;

    /**
     * The load taken for granted while nothing is known: a controller may have started into a storm
     * of retries.
     */
    private static final double UNKNOWN_LOAD = 5;

    /**
     * Bound of a warming node's weight where no node reports its utilization: a storm is then seen
     * late.
     */
    private static final double BOUND_WITHOUT_UTILIZATION = 0.6;

    private final PolicySettings settings;

    SlowStart(PolicySettings settings) {
        this.settings = settings;
    }

    /** Whether the node started so lately that it is warming up. */
    boolean warmingUp(Node node, long now) {
        return node.startedWithin(now, settings.warmUpNanos());
    }

    /**
     * Whether a table may name the node. A node that warms up stays out of the tables until what
     * the old ones sent it lies behind: guards against a restart as a lost site returns, and a list
     * that flaps; some nodes are idle for seconds by it.
     */
    boolean mayTakeLoad(Node node, long now) {
        return node.ready()
                && (!warmingUp(node, now)
                        || now - node.removedAt()
                                > settings.drainTimeoutNanos() + settings.coldOverloadNanos());
    }

    /**
     * The part of its capacity that a node can be held to have by now: it warms up evenly at the
     * slowest.
     */
    double warmUpRatio(Node node, long now) {
        return warmingUp(node, now)
                ? settings.coldCapacityRatio()
                        + (1 - settings.coldCapacityRatio())
                                * Math.max(0, now - node.startedAt())
                                / settings.warmUpNanos()
                : 1;
    }

    /**
     * What the weight of a warming node is multiplied by. Guards against a site that returns cold
     * into a storm of retries, also under a controller that has just started; it does harm where
     * the warm nodes are the overloaded ones.
     *
     * @param loadRatio attempts against available capacity
     * @param capacityKnown whether any load was reported that tells capacity
     * @param utilizationKnown whether any node reports its utilization
     */
    double weightBound(double loadRatio, boolean capacityKnown, boolean utilizationKnown) {
        double load = capacityKnown ? Math.max(loadRatio, 1e-9) : UNKNOWN_LOAD;
        return Math.min(utilizationKnown ? 1 : BOUND_WITHOUT_UTILIZATION, MAX_LOAD / load);
    }
}
