package rosespread.store;

/**
 * Persists versions, pins and drains before a proxy can receive them. {@link #append} and {@link
 * #writeSnapshot} are called only on the event loop and never block; all other methods may be
 * called on any thread.
 */
public interface TableLog {
    /** A log that persists nothing and delays nothing. */
    TableLog NONE = new NoTableLog();

    /**
     * Queues an entry to be written.
     *
     * @return the entry's sequence, one more than that of the previous entry
     */
    long append(LogEntry entry);

    /**
     * Returns the sequence up to which all entries survive a crash of the process or the machine.
     */
    long durable();

    /**
     * Returns whether the caller has to call {@link #writeSnapshot}: the log needs a snapshot to
     * replace a large file by a shorter one, or to begin a new file after a fault.
     */
    boolean needsSnapshot();

    /** Queues a snapshot to be written, which must hold every entry appended so far. */
    void writeSnapshot(StoreSnapshot snapshot);

    /** Returns why nothing is persisted now, for operators; empty without a fault. */
    String fault();

    /** Returns the size of the current file in bytes. */
    long bytes();
}
