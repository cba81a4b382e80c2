package rosespread.testbed;

import java.util.List;
import java.util.Map;

/**
 * What the stand-ins are like; times in nanoseconds. Nothing of it is told to the conductor by this
 * way.
 */
public record SiteDefinition(
        List<String> zones,
        Map<String, MachineType> machineTypes,
        List<Method> methods,
        Proxies proxies,
        WarmUp warmUp,
        double queuePerCore,
        long reportPeriodNanos,
        long reportDelayNanos) {

    public record MachineType(int cores, double speed, int nodes) {}

    public enum Effect {
        IDEMPOTENT,
        TOKENED,
        NON_IDEMPOTENT
    }

    /**
     * {@code window}: how long nodes of a zone drop a repeat of a token; empty kinds: all are open.
     */
    public record Method(
            String name,
            double share,
            long workNanos,
            long latencyObjectiveNanos,
            long deadlineNanos,
            double priorityWeight,
            double lateValueRatio,
            Effect effect,
            long tokenWindowNanos,
            List<String> machineTypes) {
        boolean isServedBy(String kind) {
            return machineTypes.isEmpty() || machineTypes.contains(kind);
        }
    }

    /**
     * {@code way} is the mean time of a message to a proxy; {@code failures} in a row make it avoid
     * a node.
     */
    public record Proxies(
            int count,
            Pick pick,
            int avoidAfterFailures,
            long stallPerEntryNanos,
            long meanDelayNanos,
            long maxDelayNanos,
            int initialEntries,
            long minReconnectNanos,
            long maxReconnectNanos,
            double entriesPerSecond) {}

    public enum Pick {
        ROUND,
        RANDOM,
        BEST_OF_TWO
    }

    /** {@code multiple} of what a cold node can do, for {@code window}, makes it fall. */
    public record WarmUp(
            long durationNanos, double initialRatio, long windowNanos, double overloadFactor) {}
}
