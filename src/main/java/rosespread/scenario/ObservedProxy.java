package rosespread.scenario;

import java.util.Map;
import java.util.TreeMap;

/**
 * A proxy as observed at its end of the socket: the controller that the proxy is joined to, the
 * times of messages, and the weights that the proxy holds. Times in nanoseconds of the loop's
 * clock. Confined to the loop's thread.
 */
final class ObservedProxy {
    private final String name;
    private final Map<Integer, Map<String, Double>> weightsByTable = new TreeMap<>();
    private String controller;
    private long joinedNanos;
    private long firstMessageNanos = Long.MIN_VALUE;
    private long lastMessageOrderedNanos = Long.MIN_VALUE;

    ObservedProxy(String name) {
        this.name = name;
    }

    /** Records the start of a new stream and discards all records of the previous stream. */
    void joined(String newController, long nanos) {
        controller = newController;
        joinedNanos = nanos;
        firstMessageNanos = Long.MIN_VALUE;
        lastMessageOrderedNanos = Long.MIN_VALUE;
        weightsByTable.clear();
    }

    void left() {
        controller = null;
    }

    void messageArrived(long nanos, long orderedNanos) {
        lastMessageOrderedNanos = orderedNanos;
        firstMessageNanos = firstMessageNanos == Long.MIN_VALUE ? nanos : firstMessageNanos;
    }

    void tableChanged(int table, Map<String, Double> weights) {
        weightsByTable.put(table, weights);
    }

    String name() {
        return name;
    }

    /** Returns the controller that the proxy is joined to; null if there is none. */
    String controller() {
        return controller;
    }

    boolean isJoined() {
        return controller != null;
    }

    boolean isJoinedTo(String someController) {
        return someController.equals(controller);
    }

    long joinedNanos() {
        return joinedNanos;
    }

    /** Returns when the stream's first message arrived; {@link Long#MIN_VALUE} before. */
    long firstMessageNanos() {
        return firstMessageNanos;
    }

    /**
     * Returns when the policy ordered the last message; {@link Long#MIN_VALUE} before the first
     * message.
     */
    long lastMessageOrderedNanos() {
        return lastMessageOrderedNanos;
    }

    /** Returns the weights of a table by node; null if the stream delivered none for the table. */
    Map<String, Double> weights(int table) {
        return weightsByTable.get(table);
    }
}
