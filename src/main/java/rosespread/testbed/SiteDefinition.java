package rosespread.testbed;

import java.util.List;
import java.util.Map;

/**
 * What the stand-ins are like; times in nanoseconds. Nothing of it is told to the conductor by this
 * way.
 */
public record SiteDefinition(
        List<String> zones,
        Map<String, Kind> kinds,
        List<Method> methods,
        Proxies proxies,
        Cold cold,
        double queuePerCore,
        long reportPeriod,
        long reportLate) {

    public record Kind(int cores, double speed, int nodes) {}

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
            long work,
            long softDeadline,
            long deadline,
            double criticality,
            double lateShare,
            Effect effect,
            long window,
            List<String> onlyKinds) {
        boolean open(String kind) {
            return onlyKinds.isEmpty() || onlyKinds.contains(kind);
        }
    }

    /**
     * {@code way} is the mean time of a message to a proxy; {@code failures} in a row make it avoid
     * a node.
     */
    public record Proxies(
            int count,
            Pick pick,
            int failures,
            long stallPerLine,
            long way,
            long longestWay,
            int standing,
            long redialLeast,
            long redialMost,
            double linesPerSecond) {}

    public enum Pick {
        ROUND,
        RANDOM,
        BEST_OF_TWO
    }

    /** {@code multiple} of what a cold node can do, for {@code window}, makes it fall. */
    public record Cold(long time, double share, long window, double multiple) {}
}
