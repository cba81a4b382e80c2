package rosespread.testbed;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums up the work that a node is sent while it warms up, over a sliding window, against what it
 * can bear. Confined to the loop's thread; times in nanoseconds of the loop's clock.
 */
final class WarmUpLoad {
    private static final double NANOS_PER_SECOND = 1e9;

    /** The budget of a window has this much room for chance, in RPCs' mean work. */
    private static final int SLACK_RPCS = 4;

    /** Work in seconds at speed 1. */
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
     * Whether the window's work is more than the node bears.
     *
     * @param capacity work that it can do now, in seconds a second
     * @param meanWorkNanos of the method that was called last
     */
    boolean isOverload(double capacity, long meanWorkNanos) {
        double budgetSeconds =
                warmUp.overloadFactor() * capacity * warmUp.windowNanos() / NANOS_PER_SECOND
                        + SLACK_RPCS * meanWorkNanos / NANOS_PER_SECOND;
        return windowWorkSeconds > budgetSeconds;
    }

    /** Seconds of the window's work by the proxy that sent it. */
    Map<String, Double> workByProxy() {
        Map<String, Double> byProxy = new TreeMap<>();
        window.forEach(
                received -> byProxy.merge(received.proxy(), received.workSeconds(), Double::sum));
        return byProxy;
    }
}
