package rosespread.scenario;

import rosespread.api.EventHandler.NodeState;
import rosespread.testbed.TrafficRecorder.NodeListing;

/**
 * A node as the list last showed it to a controller, and how proxies used it since. Times in
 * nanoseconds of the loop's clock but for {@link #startedMillis}. Confined to the loop's thread.
 */
final class ObservedNode {
    private NodeState state = NodeState.GONE;
    private long stateSinceNanos;
    private long startedMillis;
    private String machineType = "";
    private long longestUseNanos;

    /** The list has named it: what follows is known to the controller since {@code nanos}. */
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

    /** The list names it no more; a node that drained before keeps the time since it did. */
    void unlisted(long nanos) {
        if (state == NodeState.READY) {
            stateSinceNanos = nanos;
            longestUseNanos = 0;
        }
        state = NodeState.GONE;
    }

    /** What a controller was sent while it stood still it learns only when it goes on. */
    void deferChangesUntilResume(long suspendedNanos, long resumedNanos) {
        if (stateSinceNanos > suspendedNanos) {
            stateSinceNanos = resumedNanos;
        }
    }

    /** A proxy sent to the node so long after it could know that the node drains. */
    void recordUseAfterDrain(long nanos) {
        longestUseNanos = Math.max(longestUseNanos, nanos);
    }

    boolean isReady() {
        return state == NodeState.READY;
    }

    /** Whether it was listed once and is not to be used any more. */
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
     * When its process started, in milliseconds since the epoch; 0 if it was warm from the first.
     */
    long startedMillis() {
        return startedMillis;
    }

    String machineType() {
        return machineType;
    }

    /** The longest that a joined proxy went on sending since the node's state changed. */
    long longestUseNanos() {
        return longestUseNanos;
    }
}
