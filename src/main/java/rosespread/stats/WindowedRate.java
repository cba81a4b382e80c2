package rosespread.stats;

/**
 * PlatformMetrics over the time that they cover, in a window that may change. Late or missing
 * counts leave the rate as it was.
 */
public final class WindowedRate {
    /** With less time covered than this, in seconds, nothing can be said of a rate. */
    private static final double LEAST_COVERED = 0.05;

    private final DecayingSum count = new DecayingSum(1);
    private final DecayingSum covered = new DecayingSum(1);

    /**
     * Adds what was counted over some seconds; {@code window} is the time constant in nanoseconds.
     */
    public void add(long now, double counted, double seconds, double window) {
        count.timeConstant(window);
        covered.timeConstant(window);
        count.add(now, counted);
        covered.add(now, seconds);
    }

    /** The rate, 0 while it is not known. */
    public double perSecond(long now) {
        return known(now) ? count.read(now) / covered.read(now) : 0;
    }

    public boolean known(long now) {
        return covered.read(now) > LEAST_COVERED;
    }

    /** How much was counted within the window. */
    public double counted(long now) {
        return count.read(now);
    }
}
