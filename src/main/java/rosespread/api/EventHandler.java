package rosespread.api;

/** Takes what came in, one call an event, in the order of arrival. */
public interface EventHandler {
    enum NodeListKind {
        CACHED,
        FULL,
        INCREMENTAL,
        UNAVAILABLE
    }

    enum NodeState {
        READY,
        DRAINING,
        GONE
    }

    enum HealthCheckResult {
        PASSED,
        FAILED,
        REJECTED,
        TIMED_OUT,
        UNREACHABLE
    }

    /** Opens a list of nodes; its entries and {@link #listCompleted} follow. */
    void listStarted(NodeListKind kind);

    /**
     * One entry; {@code started} is the clock time of the last start, {@link Long#MIN_VALUE} if
     * long ago.
     */
    void nodeListed(
            NodeId node,
            MachineTypeId kind,
            ZoneId zone,
            double weight,
            NodeState state,
            long started);

    void listCompleted();

    /** A stream from a proxy stands; {@code rate} is its usual RPCs a second. */
    void proxyJoined(ProxyId proxy, ZoneId zone, double rate);

    void proxyLeft(ProxyId proxy);

    /**
     * The proxy has applied everything up to this mark; {@code took} runs from the order to its
     * effect.
     */
    void acknowledged(ProxyId proxy, int mark, long took);

    /**
     * What the proxies of a zone met at a node. A measure that did not come is NaN: latency in
     * seconds, utilization as the busy share of the node's cores.
     */
    void loadReported(
            NodeId node,
            ZoneId zone,
            int tries,
            int unanswered,
            double latency,
            long covers,
            double utilization);

    /** RPCs of a method that came to a proxy, pushed back ones and clients' repeats among them. */
    void demandReported(ProxyId proxy, MethodId method, int count, long covers);

    void healthChecked(NodeId node, HealthCheckResult verdict);

    /** A wake-up ordered earlier is due. */
    void timerFired();
}
