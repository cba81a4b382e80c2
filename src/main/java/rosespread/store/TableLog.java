package rosespread.store;

/**
 * Where versions, pins and drains are persisted before a proxy can learn of them. {@link #append}
 * and {@link #writeSnapshot} are called on the event loop alone and never block; all other methods
 * may be called on any thread.
 */
public interface TableLog {
    /** Persists nothing, and so keeps nothing waiting. */
    TableLog NONE = new NoTableLog();

    /**
     * Takes an entry to be written.
     *
     * @return its sequence, one more than that of the entry before
     */
    long append(LogEntry entry);

    /** The sequence up to which all entries would outlive the process and the machine. */
    long durable();

    /** Whether a snapshot is needed: to begin a shorter file, or a new one after a fault. */
    boolean needsSnapshot();

    /** Takes a snapshot to be written; it holds every entry appended so far. */
    void writeSnapshot(StoreSnapshot snapshot);

    /** Why nothing is persisted at the moment, for operators; empty if all is well. */
    String fault();

    /** The size of the current file in bytes. */
    long bytes();
}
