package rosespread.api;

/**
 * Receives the events of a round, one call per event, in the order of arrival. All calls are made
 * on the thread that runs the policy, within a round.
 */
public interface EventHandler {
    /** The nodes that a node list contains. */
    enum NodeListKind {
        /** All nodes as last known, before the discovery service has answered. */
        CACHED,
        /** All nodes; a node that is not listed is gone. */
        FULL,
        /** Only the nodes that have changed. */
        INCREMENTAL,
        /** No nodes: the list is unavailable and must be requested again. */
        UNAVAILABLE
    }

    /** State of a node according to the node list. */
    enum NodeState {
        /** The node accepts requests. */
        READY,
        /** The node finishes its current requests; no table may name it after the drain timeout. */
        DRAINING,
        /** The node no longer exists. */
        GONE
    }

    /** Outcome of a health check. */
    enum HealthCheckResult {
        /** The node answered and is healthy. */
        PASSED,
        /** The node answered with an error. */
        FAILED,
        /** The node rejected the check because it is overloaded; says nothing about its health. */
        REJECTED,
        /** The node did not answer before the check timed out. */
        TIMED_OUT,
        /** No connection to the node. */
        UNREACHABLE
    }

    /** Starts a node list; its entries and {@link #listCompleted} follow in the same round. */
    void listStarted(NodeListKind kind);

    /**
     * Adds one entry of the node list.
     *
     * @param node the node's identity
     * @param machineType the node's machine type
     * @param zone the zone in which the node runs
     * @param weight the node's weight in the list; 0 or less if the list states none
     * @param state whether the node accepts requests
     * @param startedAt clock reading of the node's last start; {@link Long#MIN_VALUE} if long ago
     */
    void nodeListed(
            NodeId node,
            MachineTypeId machineType,
            ZoneId zone,
            double weight,
            NodeState state,
            long startedAt);

    /** Ends the node list. */
    void listCompleted();

    /**
     * Reports that a proxy's stream is established; any earlier stream of the proxy has ended.
     *
     * @param proxy the proxy's identity
     * @param zone the zone in which the proxy runs
     * @param usualRate the proxy's usual rate in RPCs per second
     */
    void proxyJoined(ProxyId proxy, ZoneId zone, double usualRate);

    /** Reports that a proxy's stream has ended; ignored if the proxy had not joined. */
    void proxyLeft(ProxyId proxy);

    /**
     * Reports that a proxy has applied all messages up to the one with this token.
     *
     * @param proxy the proxy's identity
     * @param token the token given to {@link PolicyActions#requestAcknowledgement}
     * @param latencyNanos time from writing the message until the message took effect
     */
    void acknowledged(ProxyId proxy, int token, long latencyNanos);

    /**
     * Reports the load on a node from the proxies of one zone. A missing measurement is NaN.
     *
     * @param node the node's identity
     * @param proxyZone the zone of the proxies
     * @param attempts RPCs that were sent to the node
     * @param failures attempts that failed or were not answered
     * @param latency mean latency of answers in seconds, or NaN
     * @param coveredNanos the period in which the attempts were counted
     * @param utilization the busy fraction of the node's cores, or NaN
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
     * Reports the RPCs of a method that arrived at a proxy, including rejected RPCs and clients'
     * retries.
     *
     * @param proxy the proxy's identity
     * @param method the method
     * @param requests the number of RPCs
     * @param coveredNanos the period in which the RPCs were counted
     */
    void demandReported(ProxyId proxy, MethodId method, int requests, long coveredNanos);

    /** Reports the result of a health check requested earlier. */
    void healthChecked(NodeId node, HealthCheckResult result);

    /** Reports that a timer started earlier has fired. */
    void timerFired();
}
