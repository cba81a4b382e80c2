package rosespread.api;

/**
 * Takes a round's decisions as they are made; those of one round leave as one message for each
 * proxy.
 */
public interface PolicyActions {
    /** Sets a table's line; weight 0 removes it. */
    void setWeight(TableId table, NodeId node, double weight);

    /**
     * Sends a proxy the whole table for these methods; it gets the table's changes from then on.
     */
    void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table);

    /** Shuts a node out of everything that the joined proxies hold, or lets it in again. */
    void setExcluded(NodeId node, boolean out);

    /** Lets in so much of a method at each proxy of the table (infinite: all). */
    void setAdmissionLimit(TableId table, MethodId method, double admitted);

    /** Asks each proxy that this round reaches to answer with this number, 0 to 65535. */
    void requestAcknowledgement(int mark);

    void checkHealth(NodeId node);

    /** Asks to be told of changes to the list. */
    void watchNodes();

    void startTimer(long nanos);

    void log(String line);
}
