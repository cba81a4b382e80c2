package rosespread.platform;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/** Counts of connection events and dropped messages since startup. Thread-safe. */
final class PlatformMetrics {
    /** A counted connection event, with its key in the status line. */
    enum ConnectionEvent {
        /** A connection was accepted. */
        OPENED("connectionsOpened"),
        /** A connection was closed because its peer did not join within the join timeout. */
        JOIN_TIMEOUT("joinTimeouts"),
        /** A connection was closed before it joined, to make room for another. */
        EVICTED("connectionsEvicted"),
        /** A connection was sent a rejection and closed. */
        REJECTED("connectionsRejected"),
        /** A connection was closed because its bytes can't be parsed. */
        UNPARSABLE("connectionsUnparsable"),
        /** Accepting a connection failed. */
        ACCEPT_FAILED("acceptFailures");

        private final String logKey;

        ConnectionEvent(String logKey) {
            this.logKey = logKey;
        }

        String logKey() {
            return logKey;
        }
    }

    private final Map<ConnectionEvent, LongAdder> connections =
            new EnumMap<>(ConnectionEvent.class);
    private final Map<MalformedMessageException.Reason, LongAdder> dropped =
            new EnumMap<>(MalformedMessageException.Reason.class);

    PlatformMetrics() {
        for (ConnectionEvent event : ConnectionEvent.values()) {
            connections.put(event, new LongAdder());
        }
        for (MalformedMessageException.Reason reason : MalformedMessageException.Reason.values()) {
            dropped.put(reason, new LongAdder());
        }
    }

    void add(ConnectionEvent event, long times) {
        connections.get(event).add(times);
    }

    void increment(ConnectionEvent event) {
        connections.get(event).increment();
    }

    long count(ConnectionEvent event) {
        return connections.get(event).sum();
    }

    /** Counts a dropped message. */
    void countDropped(MalformedMessageException.Reason reason) {
        dropped.get(reason).increment();
    }

    /** Dropped messages for each reason that occurred, such as {@code range:37,type:60}. */
    String droppedByReason() {
        return dropped.entrySet().stream()
                .filter(entry -> entry.getValue().sum() > 0)
                .map(PlatformMetrics::describe)
                .collect(Collectors.joining(","));
    }

    private static String describe(Map.Entry<MalformedMessageException.Reason, LongAdder> entry) {
        return entry.getKey().name().toLowerCase(Locale.ROOT) + ":" + entry.getValue().sum();
    }
}
