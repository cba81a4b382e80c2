package rosespread.stats;

/** A sum that decays exponentially with time and is brought up to date when it is read. */
public final class DecayingSum {
    private double timeConstant;
    private double value;
    private long at;

    /**
     * @param timeConstant nanoseconds after which a part counts for 1/e
     */
    public DecayingSum(double timeConstant) {
        this.timeConstant = timeConstant;
    }

    /** What is left of the sum at this time. */
    public double read(long now) {
        if (now > at) {
            value = value == 0 ? 0 : value * Math.exp((at - now) / timeConstant);
            at = now;
        }
        return value;
    }

    /** Adds a part that starts to decay at this time. */
    public void add(long now, double part) {
        value = read(now) + part;
    }

    void timeConstant(double nanoseconds) {
        timeConstant = nanoseconds;
    }
}
