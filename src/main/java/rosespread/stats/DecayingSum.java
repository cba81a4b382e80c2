package rosespread.stats;

/**
 * A sum that decays exponentially with time. It is brought up to date when it is read or added to,
 * so that reads at other times give other last digits. Times are clock readings in nanoseconds. Not
 * safe for use by several threads.
 */
public final class DecayingSum {
    private double timeConstantNanos;
    private double value;
    private long updatedAt;

    /**
     * Creates an empty sum.
     *
     * @param timeConstantNanos time after which a part counts for 1/e
     */
    public DecayingSum(double timeConstantNanos) {
        this.timeConstantNanos = timeConstantNanos;
    }

    /** What is left of the sum at this time; an earlier time than the last changes nothing. */
    public double read(long now) {
        if (now > updatedAt) {
            value = value == 0 ? 0 : value * Math.exp((updatedAt - now) / timeConstantNanos);
            updatedAt = now;
        }
        return value;
    }

    /** Adds a part that starts to decay at this time. */
    public void add(long now, double part) {
        value = read(now) + part;
    }

    void setTimeConstant(double nanos) {
        timeConstantNanos = nanos;
    }
}
