package rosespread.controller;

/**
 * Counts of what happened since the process started, for its status.
 *
 * <p>Owned by the event-loop thread.
 */
final class ControllerCounters {
    /** What is counted. */
    enum Counter {
        /** Proxies that joined. */
        JOINS,
        /** Acknowledgements of messages that were not written on the stream. */
        STRAY_ACKNOWLEDGEMENTS,
        /** Entries of load reports for nodes that are not known. */
        UNKNOWN_NODE_REPORTS,
        /** Deltas that a proxy could not follow. */
        MISSED_DELTAS,
        /** Sessions closed because nothing was received. */
        SILENT_SESSIONS,
        /** Sessions closed because the proxy did not read. */
        SLOW_SESSIONS,
        /** Node lists taken. */
        NODE_LISTS,
        /** Failures to get the node list. */
        NODE_LIST_FAILURES
    }

    private final long[] values = new long[Counter.values().length];

    void increment(Counter counter) {
        add(counter, 1);
    }

    void add(Counter counter, long count) {
        values[counter.ordinal()] += count;
    }

    long value(Counter counter) {
        return values[counter.ordinal()];
    }
}
