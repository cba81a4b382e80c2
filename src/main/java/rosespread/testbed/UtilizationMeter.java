package rosespread.testbed;

/**
 * Measures the utilization of a node's cores over periods of at least half a second. Confined to
 * the loop's thread; times in nanoseconds of the loop's clock.
 */
final class UtilizationMeter {
    private static final long MIN_PERIOD_NANOS = 500_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int cores;
    private double busyCoreSeconds;
    private long updatedNanos;
    private long periodStartNanos;
    private double utilization;

    UtilizationMeter(int cores, long nanos) {
        this.cores = cores;
        this.updatedNanos = nanos;
        this.periodStartNanos = nanos;
    }

    /**
     * Accounts for the time up to now. Must be called before the number of busy cores changes.
     *
     * @param busyCores number of busy cores since the last call
     */
    void update(long nanos, int busyCores) {
        busyCoreSeconds += busyCores * (nanos - updatedNanos) / NANOS_PER_SECOND;
        updatedNanos = nanos;
    }

    /** Returns the utilization over the last completed period, 0 to 1. */
    double utilization(long nanos, int busyCores) {
        if (nanos - periodStartNanos > MIN_PERIOD_NANOS) {
            update(nanos, busyCores);
            double seconds = (nanos - periodStartNanos) / NANOS_PER_SECOND;
            utilization = Math.min(1, busyCoreSeconds / seconds / cores);
            busyCoreSeconds = 0;
            periodStartNanos = nanos;
        }
        return utilization;
    }
}
