package rosespread.api;

/** Takes what came in, one call an event, in the order of arrival. */
public interface Observer {
    enum ListKind {
        REMEMBERED,
        WHOLE,
        CHANGES,
        UNAVAILABLE
    }

    enum NodeState {
        READY,
        DRAINING,
        GONE
    }

    enum Verdict {
        OK,
        ABORTED,
        PUSHED_BACK,
        TIMED_OUT,
        UNREACHABLE
    }

    /** Opens a list of nodes; its entries and {@link #listEnds} follow. */
    void listBegins(ListKind kind);

    /**
     * One entry; {@code started} is the clock time of the last start, {@link Long#MIN_VALUE} if
     * long ago.
     */
    void node(NodeId node, KindId kind, ZoneId zone, double weight, NodeState state, long started);

    void listEnds();

    /** A stream from a proxy stands; {@code rate} is its usual RPCs a second. */
    void proxyJoined(ProxyId proxy, ZoneId zone, double rate);

    void proxyLeft(ProxyId proxy);

    /**
     * The proxy has applied everything up to this mark; {@code took} runs from the order to its
     * effect.
     */
    void installed(ProxyId proxy, int mark, long took);

    /**
     * What the proxies of a zone met at a node. A measure that did not come is NaN: latency in
     * seconds, utilization as the busy share of the node's cores.
     */
    void sums(
            NodeId node,
            ZoneId zone,
            int tries,
            int unanswered,
            double latency,
            long covers,
            double utilization);

    /** RPCs of a method that came to a proxy, pushed back ones and clients' repeats among them. */
    void offered(ProxyId proxy, MethodId method, int count, long covers);

    void probed(NodeId node, Verdict verdict);

    /** A wake-up ordered earlier is due. */
    void woke();
}
