package rosespread.policy;

/** Receives the routing policy's actions; the simulated fleet applies them. */
interface ActionEffects {
    /** Sets a table's weight entry; weight 0 removes it. */
    void applyWeight(int table, long node, double weight);

    void sendFullTable(int proxy, int[] methods, int table);

    void applyExclusion(long node, boolean excluded);

    void applyAdmissionLimit(int table, int method, double limit);

    /** Requests an acknowledgement from the proxies that are sent a message in this round. */
    void requestAcknowledgement(int token);

    void startHealthCheck(long node);

    void watchNodes();

    void startTimer(long nanos);
}
