package rosespread.stats;

/**
 * A rate: the decayed sum of counts divided by the decayed sum of the time that the counts cover,
 * with a window (decay time constant) that may change. Late or missing counts leave the rate
 * unchanged. Times are clock readings in nanoseconds. Not thread-safe.
 */
public final class WindowedRate {
    /** The rate is unknown while the counts cover no more than this time. */
    private static final double MIN_COVERED_SECONDS = 0.05;

    private final DecayingSum count = new DecayingSum(1);
    private final DecayingSum coveredSeconds = new DecayingSum(1);

    /**
     * Adds a count and the time that it covers.
     *
     * @param now clock reading
     * @param counted the count
     * @param seconds the time that the count covers
     * @param windowNanos the decay time constant from now on
     */
    public void add(long now, double counted, double seconds, double windowNanos) {
        count.setTimeConstant(windowNanos);
        coveredSeconds.setTimeConstant(windowNanos);
        count.add(now, counted);
        coveredSeconds.add(now, seconds);
    }

    /** Returns the rate per second, 0 while it is unknown. */
    public double perSecond(long now) {
        return known(now) ? count.read(now) / coveredSeconds.read(now) : 0;
    }

    /** Returns whether the counts cover enough time to know the rate. */
    public boolean known(long now) {
        return coveredSeconds.read(now) > MIN_COVERED_SECONDS;
    }

    /** Returns the sum of the counts, decayed over the window. */
    public double counted(long now) {
        return count.read(now);
    }
}
