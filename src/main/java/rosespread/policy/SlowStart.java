package rosespread.policy;

import rosespread.api.PolicySettings;
import rosespread.policy.state.Node;

/** Limits the load of recently started nodes: when they may take load, and how much. */
final class SlowStart {
    /** Maximum load of a warming node, as a multiple of its currently available capacity. */
    private static final double MAX_LOAD_RATIO = 1.2;

    /**
     * Load ratio assumed while no capacity is known, as a controller may have started during a
     * retry storm.
     */
    private static final double ASSUMED_LOAD_RATIO = 5;

    /**
     * Maximum weight factor of a warming node while no node reports its utilization, as a retry
     * storm is then detected late.
     */
    private static final double MAX_FACTOR_WITHOUT_UTILIZATION = 0.6;

    private final PolicySettings settings;

    SlowStart(PolicySettings settings) {
        this.settings = settings;
    }

    /** Whether the node started so recently that it is warming up. */
    boolean warmingUp(Node node, long now) {
        return node.startedWithin(now, settings.warmUpNanos());
    }

    /**
     * Whether a table may name the node. A warming node stays out of all tables until the requests
     * that earlier tables sent to it have ended: a drain timeout plus the time for which a cold
     * node can be overloaded, counted from the last removal of an entry of the node. The delay
     * protects nodes that restart when a lost site returns, and nodes in a flapping endpoint list.
     * The delay leaves some nodes idle for seconds.
     */
    boolean mayTakeLoad(Node node, long now) {
        return node.ready()
                && (!warmingUp(node, now)
                        || now - node.removedAt()
                                > settings.drainTimeoutNanos() + settings.coldOverloadNanos());
    }

    /**
     * Fraction of its full capacity that a node is assumed to have now, 1 once the node is warm.
     * Linear warm-up is assumed, which is the slowest case.
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
     * Factor for the weight of a warming node. The factor protects the cold nodes of a returning
     * site from a retry storm, also if the controller has just started. It does harm if the warm
     * nodes are the overloaded ones.
     *
     * @param loadRatio attempts per second relative to the available capacity
     * @param capacityKnown whether a reported load has made the capacity known
     * @param utilizationKnown whether any node reports its utilization
     */
    double weightFactor(double loadRatio, boolean capacityKnown, boolean utilizationKnown) {
        double load = capacityKnown ? Math.max(loadRatio, 1e-9) : ASSUMED_LOAD_RATIO;
        return Math.min(
                utilizationKnown ? 1 : MAX_FACTOR_WITHOUT_UTILIZATION, MAX_LOAD_RATIO / load);
    }
}
