package rosespread.controller;

/**
 * Counters of events since the process started, for the status.
 *
 * <p>Owned by the event-loop thread.
 */
final class ControllerCounters {
    /** An event that is counted. */
    enum Counter {
        /** Proxies that joined. */
        JOINS,
        /** Acknowledgements of messages that were not written on the stream. */
        STRAY_ACKNOWLEDGEMENTS,
        /** Entries of load reports for unknown nodes. */
        UNKNOWN_NODE_REPORTS,
        /** Deltas that a proxy could not apply. */
        MISSED_DELTAS,
        /**
         * Sessions closed because no frame was received for more than 4 keep-alive intervals, see
         * {@link KeepAliveMonitor}.
         */
        SILENT_SESSIONS,
        /**
         * Sessions closed because more than 4 MiB that the proxy had not read were buffered, see
         * {@link KeepAliveMonitor}.
         */
        SLOW_SESSIONS,
        /** Node lists received from discovery. */
        NODE_LISTS,
        /** Failures to get the node list from discovery. */
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
