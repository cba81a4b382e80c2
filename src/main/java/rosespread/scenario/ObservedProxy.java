package rosespread.scenario;

import java.util.Map;
import java.util.TreeMap;

/**
 * A proxy as its end of the socket showed it: the controller it is joined to, when messages came,
 * and the weights it holds. Times in nanoseconds of the loop's clock. Confined to the loop's
 * thread.
 */
final class ObservedProxy {
    private final String name;
    private final Map<Integer, Map<String, Double>> weightsByTable = new TreeMap<>();
    private String controller;
    private long joinedNanos;
    private long firstMessageNanos = Long.MIN_VALUE;
    private long lastMessageSentNanos = Long.MIN_VALUE;

    ObservedProxy(String name) {
        this.name = name;
    }

    /** A new stream begins: nothing of the one before holds for its controller. */
    void joined(String newController, long nanos) {
        controller = newController;
        joinedNanos = nanos;
        firstMessageNanos = Long.MIN_VALUE;
        lastMessageSentNanos = Long.MIN_VALUE;
        weightsByTable.clear();
    }

    void left() {
        controller = null;
    }

    void messageArrived(long nanos, long sentNanos) {
        lastMessageSentNanos = sentNanos;
        firstMessageNanos = firstMessageNanos == Long.MIN_VALUE ? nanos : firstMessageNanos;
    }

    void tableChanged(int table, Map<String, Double> weights) {
        weightsByTable.put(table, weights);
    }

    String name() {
        return name;
    }

    /** The controller it is joined to; null if there is none. */
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

    /** When the stream's first message came; {@link Long#MIN_VALUE} before. */
    long firstMessageNanos() {
        return firstMessageNanos;
    }

    /** When the last message was handed to the stream; {@link Long#MIN_VALUE} before the first. */
    long lastMessageSentNanos() {
        return lastMessageSentNanos;
    }

    /** Weights of a table by node, as the stream brought them; null if it brought none. */
    Map<String, Double> weights(int table) {
        return weightsByTable.get(table);
    }
}
