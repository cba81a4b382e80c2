package rosespread.api;

/**
 * Takes what came in, one call an event, in the order of arrival. All calls come from the thread
 * that runs the decisions, within a round.
 */
public interface EventHandler {
    /** What a node list holds. */
    enum NodeListKind {
        /** All nodes as last known, before any answer of the discovery service. */
        CACHED,
        /** All nodes: any other is gone. */
        FULL,
        /** Only nodes that have changed. */
        INCREMENTAL,
        /** None: the list can't be had, and has to be asked for again. */
        UNAVAILABLE
    }

    /** What the list says of a node. */
    enum NodeState {
        /** Takes requests. */
        READY,
        /** Finishes what it has; no table may name it after the drain timeout. */
        DRAINING,
        /** Is no more. */
        GONE
    }

    /** How a health check ended. */
    enum HealthCheckResult {
        /** Answered as a healthy node does. */
        PASSED,
        /** Answered with an error. */
        FAILED,
        /** Rejected as the node is overloaded, which tells nothing of its health. */
        REJECTED,
        /** Not answered in time. */
        TIMED_OUT,
        /** No connection. */
        UNREACHABLE
    }

    /** Opens a list of nodes; its entries and {@link #listCompleted} follow in the same round. */
    void listStarted(NodeListKind kind);

    /**
     * One entry of the list.
     *
     * @param node the node's identity
     * @param machineType its kind of machine
     * @param zone the zone that it runs in
     * @param weight the weight that the list states; 0 or less if none
     * @param state whether it takes requests
     * @param startedAt clock reading of its last start, {@link Long#MIN_VALUE} if long ago
     */
    void nodeListed(
            NodeId node,
            MachineTypeId machineType,
            ZoneId zone,
            double weight,
            NodeState state,
            long startedAt);

    /** Closes the list. */
    void listCompleted();

    /**
     * A proxy's stream is established; a former one of the same proxy has ended.
     *
     * @param proxy the proxy's identity
     * @param zone the zone that it runs in
     * @param usualRate its usual RPCs a second
     */
    void proxyJoined(ProxyId proxy, ZoneId zone, double usualRate);

    /** A proxy's stream has ended; passed over if the proxy had not joined. */
    void proxyLeft(ProxyId proxy);

    /**
     * A proxy has applied everything up to a token.
     *
     * @param proxy the proxy's identity
     * @param token as asked for by {@link PolicyActions#requestAcknowledgement}
     * @param latencyNanos from the writing of the message to its effect
     */
    void acknowledged(ProxyId proxy, int token, long latencyNanos);

    /**
     * What the proxies of a zone met at a node. A measure that did not come is NaN.
     *
     * @param node the node's identity
     * @param proxyZone the zone of the proxies
     * @param attempts RPCs that were sent to the node
     * @param failures those of them that failed or were not answered
     * @param latency mean latency of answers in seconds, or NaN
     * @param coveredNanos the span in which they were counted
     * @param utilization the busy part of the node's cores, or NaN
     */
    void loadReported(
            NodeId node,
            ZoneId proxyZone,
            int attempts,
            int failures,
            double latency,
            long coveredNanos,
            double utilization);

    /**
     * RPCs of a method that came to a proxy, rejected ones and clients' retries among them.
     *
     * @param proxy the proxy's identity
     * @param method the method
     * @param requests how many came
     * @param coveredNanos the span in which they were counted
     */
    void demandReported(ProxyId proxy, MethodId method, int requests, long coveredNanos);

    /** A health check ordered earlier has ended. */
    void healthChecked(NodeId node, HealthCheckResult result);

    /** A timer started earlier has fired. */
    void timerFired();
}
