package rosespread.store;

/**
 * Where versions and acts are kept before a proxy can hear of them. Called on one thread; never
 * blocks.
 */
public interface TableLog {
    /** Takes an entry up; returns its sequence, which rises by one. */
    long append(LogEntry entry);

    /** The sequence up to which all would outlive the process and the machine. */
    long durable();

    /** Whether a whole image is asked for: to begin a shorter file, or anew after a fault. */
    boolean wantsSnapshot();

    /** An image of everything appended so far. */
    void writeSnapshot(StoreSnapshot image);

    /** Why nothing is kept at the moment; empty if all is well. */
    String fault();

    /** Bytes of the file that is written now. */
    long bytes();

    /** Keeps nothing, and so keeps nothing waiting. */
    TableLog NONE =
            new TableLog() {
                @Override
                public long append(LogEntry entry) {
                    return 0;
                }

                @Override
                public long durable() {
                    return Long.MAX_VALUE;
                }

                @Override
                public boolean wantsSnapshot() {
                    return false;
                }

                @Override
                public void writeSnapshot(StoreSnapshot image) {}

                @Override
                public String fault() {
                    return "";
                }

                @Override
                public long bytes() {
                    return 0;
                }
            };
}
