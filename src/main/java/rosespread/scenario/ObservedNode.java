package rosespread.scenario;

import rosespread.api.EventHandler.NodeState;
import rosespread.testbed.TrafficRecorder.NodeListing;

/**
 * A node as the node list last showed it to a controller, and how proxies have used it since. Times
 * in nanoseconds of the loop's clock except {@link #startedMillis}. Confined to the loop's thread.
 */
final class ObservedNode {
    private NodeState state = NodeState.GONE;
    private long stateSinceNanos;
    private long startedMillis;
    private String machineType = "";
    private long longestUseNanos;

    /**
     * Records that the node list named the node; the controller knows the listing since {@code
     * nanos}.
     */
    void listed(long nanos, NodeListing listing) {
        boolean restarted = startedMillis != listing.startedMillis();
        if (state != listing.state()) {
            stateSinceNanos = nanos;
            longestUseNanos = 0;
        }
        if (restarted && listing.state() == NodeState.READY) {
            stateSinceNanos = nanos;
        }
        state = listing.state();
        startedMillis = listing.startedMillis();
        machineType = listing.machineType();
    }

    /**
     * Records that the node list no longer names the node; a node that drained before keeps the
     * start of its drain.
     */
    void unlisted(long nanos) {
        if (state == NodeState.READY) {
            stateSinceNanos = nanos;
            longestUseNanos = 0;
        }
        state = NodeState.GONE;
    }

    /**
     * Sets the time of a state change that the controller was sent while suspended to the time of
     * the controller's resumption, since the controller learns of the change only then.
     */
    void deferChangesUntilResume(long suspendedNanos, long resumedNanos) {
        if (stateSinceNanos > suspendedNanos) {
            stateSinceNanos = resumedNanos;
        }
    }

    /**
     * Records an attempt to a node that is not ready.
     *
     * @param nanos the time of the attempt, counted from when the controller knew the node's state
     *     and the proxy had joined
     */
    void recordUseAfterDrain(long nanos) {
        longestUseNanos = Math.max(longestUseNanos, nanos);
    }

    boolean isReady() {
        return state == NodeState.READY;
    }

    /** Returns whether the node was listed before and must not be used any more. */
    boolean isWithdrawn() {
        return state != NodeState.READY && stateSinceNanos > 0;
    }

    NodeState state() {
        return state;
    }

    long stateSinceNanos() {
        return stateSinceNanos;
    }

    /**
     * Returns when the node's process started, in milliseconds since the epoch; 0 if the node was
     * warm from the start.
     */
    long startedMillis() {
        return startedMillis;
    }

    String machineType() {
        return machineType;
    }

    /**
     * Returns the longest time for which a joined proxy kept sending to the node after its state
     * had changed.
     */
    long longestUseNanos() {
        return longestUseNanos;
    }
}
