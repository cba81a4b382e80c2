package rosespread.platform;

import java.util.Set;
import java.util.TreeSet;
import rosespread.api.NodeId;

/** Rule violations, maxima and the duration of rounds in a simulation so far. */
final class FleetFindings {
    private int drainTimeoutViolations;
    private long maxLateNanos;
    private String firstDrainTimeoutViolation = "";
    private double maxQueuedEntries;
    private int maxMessagesInWindow;
    private long actionsDigest;
    private int rounds;
    private long roundNanos;
    private long maxRoundNanos;
    private final Set<NodeId> overloadedColdNodes = new TreeSet<>();
    private String firstOverload = "";
    private double maxColdLoad;

    /** Adds a proxy that is found for the first time to hold a node after its drain timeout. */
    void addDrainTimeoutViolation(String description) {
        drainTimeoutViolations++;
        firstDrainTimeoutViolation =
                firstDrainTimeoutViolation.isEmpty() ? description : firstDrainTimeoutViolation;
    }

    /** Records for how long after its drain timeout a node is held. */
    void recordLateness(long nanos) {
        maxLateNanos = Math.max(maxLateNanos, nanos);
    }

    void recordQueuedEntries(double entries) {
        maxQueuedEntries = Math.max(maxQueuedEntries, entries);
    }

    void recordMessagesInWindow(int messages) {
        maxMessagesInWindow = Math.max(maxMessagesInWindow, messages);
    }

    /** Adds an action of the policy to the digest, which depends on the order of the actions. */
    void addToDigest(int value) {
        actionsDigest = actionsDigest * 31 + value;
    }

    void recordRound(long nanos) {
        rounds++;
        roundNanos += nanos;
        maxRoundNanos = Math.max(maxRoundNanos, nanos);
    }

    /** Records the load on a cold node as a multiple of its capacity. */
    void recordColdLoad(double load) {
        maxColdLoad = Math.max(maxColdLoad, load);
    }

    /** Adds a cold node that was overloaded for too long. */
    void addOverloadedColdNode(NodeId node, String description) {
        if (overloadedColdNodes.add(node)) {
            firstOverload = firstOverload.isEmpty() ? description : firstOverload;
        }
    }

    int drainTimeoutViolations() {
        return drainTimeoutViolations;
    }

    double maxQueuedEntries() {
        return maxQueuedEntries;
    }

    int maxMessagesInWindow() {
        return maxMessagesInWindow;
    }

    /** The maximum load on a cold node as a multiple of its capacity. */
    double maxColdLoad() {
        return maxColdLoad;
    }

    @Override
    public String toString() {
        return "drain timeout violations %d (%s), by at most %d ms; queued at most %.1f entries; "
                        .formatted(
                                drainTimeoutViolations,
                                firstDrainTimeoutViolation,
                                maxLateNanos / FleetModel.MILLI,
                                maxQueuedEntries)
                + "messages in window at most %d; rounds %d, of %d us, at most %d us; "
                        .formatted(
                                maxMessagesInWindow,
                                rounds,
                                roundNanos / Math.max(1, rounds) / 1000,
                                maxRoundNanos / 1000)
                + "digest %x; overloaded cold nodes %d (%s), cold load at most %.2f"
                        .formatted(
                                actionsDigest,
                                overloadedColdNodes.size(),
                                firstOverload,
                                maxColdLoad);
    }
}
