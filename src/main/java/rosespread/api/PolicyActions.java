package rosespread.api;

/**
 * Receives the policy's decisions as they are made, on the thread that runs the policy. The
 * decisions of one round are sent as one message to each proxy concerned; proxies apply them in
 * order.
 */
public interface PolicyActions {
    /**
     * Sets a table's weight entry for a node at all proxies subscribed to the table.
     *
     * @param weight weight relative to the table's other entries; 0 removes the entry
     */
    void setWeight(TableId table, NodeId node, double weight);

    /**
     * Sends a proxy the full table for these methods, and from then on the table's changes.
     *
     * @param methods the methods that use the table; may be read only during the call
     */
    void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table);

    /**
     * Excludes a node from all tables held by joined proxies that are not subscribed, or readmits
     * it.
     *
     * @param excluded true to exclude the node, false to readmit it
     */
    void setExcluded(NodeId node, boolean excluded);

    /**
     * Sets the admission limit of a method at each proxy of a table.
     *
     * @param limit a share or a rate, see {@link PolicySettings.Throttle}; infinite for no limit
     */
    void setAdmissionLimit(TableId table, MethodId method, double limit);

    /**
     * Requests an acknowledgement from each proxy that is sent a message in this round.
     *
     * @param token the token to acknowledge with, 0 to 65535; tokens wrap around
     */
    void requestAcknowledgement(int token);

    /** Starts a health check of a node; the result arrives as an event. */
    void checkHealth(NodeId node);

    /** Requests the node list, and from then on its changes. */
    void watchNodes();

    /**
     * Starts the timer that triggers the next evaluation.
     *
     * @param nanos time until the timer fires
     */
    void startTimer(long nanos);

    /** Reports a mode change of the policy to operators. */
    void report(PolicyEvent event);
}
