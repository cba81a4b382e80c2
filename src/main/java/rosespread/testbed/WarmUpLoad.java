package rosespread.testbed;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums the work sent to a warming node over a sliding window and compares it with the limit at
 * which the node is overloaded. Confined to the loop's thread; times in nanoseconds of the loop's
 * clock.
 */
final class WarmUpLoad {
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Number of RPCs of mean work that a window may contain above the overload limit, to allow for
     * random variation.
     */
    private static final int SLACK_RPCS = 4;

    /** An RPC's work, in seconds at speed 1. */
    private record Received(long nanos, double workSeconds, String proxy) {}

    private final SiteDefinition.WarmUp warmUp;
    private final ArrayDeque<Received> window = new ArrayDeque<>();
    private double windowWorkSeconds;

    WarmUpLoad(SiteDefinition.WarmUp warmUp) {
        this.warmUp = warmUp;
    }

    void reset() {
        window.clear();
        windowWorkSeconds = 0;
    }

    void add(long nanos, double workSeconds, String proxy) {
        window.addLast(new Received(nanos, workSeconds, proxy));
        windowWorkSeconds += workSeconds;
        while (nanos - window.peekFirst().nanos() > warmUp.windowNanos()) {
            windowWorkSeconds -= window.removeFirst().workSeconds();
        }
    }

    /**
     * Returns whether the work sent in the window exceeds the overload factor times the work that
     * the node can do in a window, plus {@value #SLACK_RPCS} RPCs of mean work.
     *
     * @param capacity work that the node can do at present, in seconds of work per second
     * @param meanWorkNanos mean work of the latest RPC's method
     */
    boolean isOverload(double capacity, long meanWorkNanos) {
        double budgetSeconds =
                warmUp.overloadFactor() * capacity * warmUp.windowNanos() / NANOS_PER_SECOND
                        + SLACK_RPCS * meanWorkNanos / NANOS_PER_SECOND;
        return windowWorkSeconds > budgetSeconds;
    }

    /** Returns the window's work in seconds, by the proxy that sent it. */
    Map<String, Double> workByProxy() {
        Map<String, Double> byProxy = new TreeMap<>();
        window.forEach(
                received -> byProxy.merge(received.proxy(), received.workSeconds(), Double::sum));
        return byProxy;
    }
}
