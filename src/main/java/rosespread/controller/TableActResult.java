package rosespread.controller;

/** What came of an operator's act on a table. */
public sealed interface TableActResult {
    /** The act was done. */
    TableActResult DONE = new Done();

    /** The act was done; whether it is durable is for the caller to await. */
    record Done() implements TableActResult {}

    /**
     * The act was not done and changed nothing.
     *
     * @param reason why
     * @param detail the same as a sentence for the operator, with the table and version
     */
    record Rejected(Reason reason, String detail) implements TableActResult {}

    /** Why an act was rejected. */
    enum Reason {
        /** No settings were applied yet. */
        NO_SETTINGS,
        /** There is no such table, or nothing of it was committed yet. */
        UNKNOWN_TABLE,
        /** The version was never committed or is no longer retained. */
        UNKNOWN_VERSION,
        /** The table is not pinned. */
        NOT_PINNED
    }
}
