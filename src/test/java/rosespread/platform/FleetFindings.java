package rosespread.platform;

import java.util.Set;
import java.util.TreeSet;
import rosespread.api.NodeId;

/** How well the rules were kept so far, and what it took. */
final class FleetFindings {
    private int lateHolders;
    private long maxLateNanos;
    private String firstLateHolder = "";
    private double maxQueuedEntries;
    private int maxMessagesInWindow;
    private long actionsDigest;
    private int rounds;
    private long roundNanos;
    private long maxRoundNanos;
    private final Set<NodeId> overloadedColdNodes = new TreeSet<>();
    private String firstOverload = "";
    private double maxColdLoad;

    /** A proxy is found for the first time to hold a node after its drain timeout. */
    void lateHolder(String description) {
        lateHolders++;
        firstLateHolder = firstLateHolder.isEmpty() ? description : firstLateHolder;
    }

    /** A node is held so long after its drain timeout. */
    void late(long nanos) {
        maxLateNanos = Math.max(maxLateNanos, nanos);
    }

    void queued(double entries) {
        maxQueuedEntries = Math.max(maxQueuedEntries, entries);
    }

    void messagesInWindow(int messages) {
        maxMessagesInWindow = Math.max(maxMessagesInWindow, messages);
    }

    /** Takes what the policy did into the digest, in order. */
    void digest(int value) {
        actionsDigest = actionsDigest * 31 + value;
    }

    void round(long nanos) {
        rounds++;
        roundNanos += nanos;
        maxRoundNanos = Math.max(maxRoundNanos, nanos);
    }

    /** A cold node bears so many times what it can do. */
    void coldLoad(double load) {
        maxColdLoad = Math.max(maxColdLoad, load);
    }

    /** A cold node bore more than it can for too long. */
    void overloaded(NodeId node, String description) {
        if (overloadedColdNodes.add(node)) {
            firstOverload = firstOverload.isEmpty() ? description : firstOverload;
        }
    }

    int lateHolders() {
        return lateHolders;
    }

    double maxQueuedEntries() {
        return maxQueuedEntries;
    }

    int maxMessagesInWindow() {
        return maxMessagesInWindow;
    }

    /** The most that a cold node bore, in times of what it could do. */
    double maxColdLoad() {
        return maxColdLoad;
    }

    @Override
    public String toString() {
        return "late holders %d (%s), by at most %d ms; queued at most %.1f entries; "
                        .formatted(
                                lateHolders,
                                firstLateHolder,
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
