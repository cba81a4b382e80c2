package rosespread.testbed;

import java.util.random.RandomGenerator;

/** Faults that a scenario sets on all proxies at once. Confined to the loop's thread. */
final class ProxyFaults {
    private long reportDelayNanos;
    private double deltaLossRatio;

    /** Sets the delay of load reports, in addition to the site's report delay. */
    void setReportDelay(long nanos) {
        reportDelayNanos = nanos;
    }

    /** Sets the ratio of messages that lose their deltas, 0 to 1. */
    void setDeltaLossRatio(double ratio) {
        deltaLossRatio = ratio;
    }

    long reportDelayNanos() {
        return reportDelayNanos;
    }

    /**
     * Returns whether a message loses its deltas; draws a random number only if the ratio is above
     * 0.
     */
    boolean losesDeltas(RandomGenerator random) {
        return deltaLossRatio > 0 && random.nextDouble() < deltaLossRatio;
    }
}
