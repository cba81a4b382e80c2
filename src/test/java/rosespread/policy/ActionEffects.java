package rosespread.policy;

/** What the simulated fleet does as the routing policy's actions reach it. */
interface ActionEffects {
    /** Sets a table's weight entry; weight 0 removes it. */
    void weightEntry(int table, long node, double weight);

    void fullTable(int proxy, int[] methods, int table);

    void exclusion(long node, boolean excluded);

    void admissionLimit(int table, int method, double limit);

    /** Asks the proxies reached in this round for an acknowledgement. */
    void acknowledgeWith(int token);

    void healthCheck(long node);

    void watchNodes();

    void startTimer(long nanos);
}
