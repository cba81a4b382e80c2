package rosespread.api;

/**
 * Takes a round's decisions as they are made, on the thread that makes them. Those of one round
 * leave as one message for each proxy reached; proxies apply them in order.
 */
public interface PolicyActions {
    /**
     * Sets a table's weight entry for a node, at all proxies subscribed to the table.
     *
     * @param weight relative to the table's other weights; 0 removes the entry
     */
    void setWeight(TableId table, NodeId node, double weight);

    /**
     * Sends a proxy the full table for these methods; it gets the table's changes from then on.
     *
     * @param methods that follow the table; to be read within the call
     */
    void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table);

    /**
     * Excludes a node from everything that joined proxies without a subscription hold, or includes
     * it again.
     */
    void setExcluded(NodeId node, boolean excluded);

    /**
     * Limits a method at each proxy of a table.
     *
     * @param limit a share or a rate, as {@link PolicySettings.Throttle} says; infinite for none
     */
    void setAdmissionLimit(TableId table, MethodId method, double limit);

    /**
     * Asks each proxy that this round reaches for an acknowledgement.
     *
     * @param token to be acknowledged with, 0 to 65535; tokens come round again
     */
    void requestAcknowledgement(int token);

    /** Has a node health-checked; the result comes as an event. */
    void checkHealth(NodeId node);

    /** Asks for the node list and for its changes from then on. */
    void watchNodes();

    /**
     * Has the next evaluation called for.
     *
     * @param nanos until the timer fires
     */
    void startTimer(long nanos);

    /** Reports a change of the policy's modes to operators. */
    void report(PolicyEvent event);
}
