package rosespread.controller;

/** Result of an operator's act on a table. */
public sealed interface TableActResult {
    /** The act was done. */
    TableActResult DONE = new Done();

    /** The act was done. It is not necessarily durable yet; the caller has to wait for that. */
    record Done() implements TableActResult {}

    /**
     * The act was not done and changed nothing.
     *
     * @param reason why the act was rejected
     * @param detail the reason as a text for the operator, with the table and version
     */
    record Rejected(Reason reason, String detail) implements TableActResult {}

    /** Why an act was rejected. */
    enum Reason {
        /** No settings have been applied yet. */
        NO_SETTINGS,
        /** There is no such table, or no version of it has been committed yet. */
        UNKNOWN_TABLE,
        /** The version was never committed or is no longer retained. */
        UNKNOWN_VERSION,
        /** The table is not pinned. */
        NOT_PINNED
    }
}
