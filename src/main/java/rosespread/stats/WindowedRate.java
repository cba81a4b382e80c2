package rosespread.stats;

/**
 * A rate: what was counted over the time that the counts cover, in a window that may change. Late
 * or missing counts leave the rate as it was. Times are clock readings in nanoseconds. Not safe for
 * use by several threads.
 */
public final class WindowedRate {
    /** With less time covered than this, nothing can be said of a rate. */
    private static final double MIN_COVERED_SECONDS = 0.05;

    private final DecayingSum count = new DecayingSum(1);
    private final DecayingSum coveredSeconds = new DecayingSum(1);

    /**
     * Adds what was counted over some time.
     *
     * @param now clock reading
     * @param counted what was counted
     * @param seconds the time that it covers
     * @param windowNanos time constant from now on
     */
    public void add(long now, double counted, double seconds, double windowNanos) {
        count.setTimeConstant(windowNanos);
        coveredSeconds.setTimeConstant(windowNanos);
        count.add(now, counted);
        coveredSeconds.add(now, seconds);
    }

    /** The rate a second, 0 while it is not known. */
    public double perSecond(long now) {
        return known(now) ? count.read(now) / coveredSeconds.read(now) : 0;
    }

    /** Whether enough time is covered to tell the rate. */
    public boolean known(long now) {
        return coveredSeconds.read(now) > MIN_COVERED_SECONDS;
    }

    /** How much was counted within the window. */
    public double counted(long now) {
        return count.read(now);
    }
}
