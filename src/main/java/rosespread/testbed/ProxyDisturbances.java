package rosespread.testbed;

import java.util.random.RandomGenerator;

/** What a scenario disturbs at all proxies at once. Confined to the loop's thread. */
final class ProxyDisturbances {
    private long reportDelayNanos;
    private double deltaLossRatio;

    /** Reports are sent so much later than usual. */
    void setReportDelay(long nanos) {
        reportDelayNanos = nanos;
    }

    /** This share of messages loses its table changes, 0 to 1. */
    void setDeltaLossRatio(double ratio) {
        deltaLossRatio = ratio;
    }

    long reportDelayNanos() {
        return reportDelayNanos;
    }

    /** Whether a message loses its table changes; draws only while any do. */
    boolean losesDeltas(RandomGenerator random) {
        return deltaLossRatio > 0 && random.nextDouble() < deltaLossRatio;
    }
}
