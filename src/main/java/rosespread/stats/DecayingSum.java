package rosespread.stats;

/**
 * A sum that decays exponentially with time. The decay is applied on each read and addition, so
 * that the times of intermediate reads affect the last digits of the result. Times are clock
 * readings in nanoseconds. Not thread-safe.
 */
public final class DecayingSum {
    private double timeConstantNanos;
    private double value;
    private long updatedAt;

    /**
     * Creates an empty sum.
     *
     * @param timeConstantNanos time after which an added amount has decayed to 1/e
     */
    public DecayingSum(double timeConstantNanos) {
        this.timeConstantNanos = timeConstantNanos;
    }

    /** Returns the sum decayed to this time; a time before the last update applies no decay. */
    public double read(long now) {
        if (now > updatedAt) {
            // StrictMath: the same decisions on every kind of machine.
            value = value == 0 ? 0 : value * StrictMath.exp((updatedAt - now) / timeConstantNanos);
            updatedAt = now;
        }
        return value;
    }

    /** Adds an amount that starts to decay at this time. */
    public void add(long now, double amount) {
        value = read(now) + amount;
    }

    void setTimeConstant(double nanos) {
        timeConstantNanos = nanos;
    }
}
