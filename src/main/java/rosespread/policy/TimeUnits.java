package rosespread.policy;

/** Durations in nanoseconds. */
final class TimeUnits {
    static final long SECOND = 1_000_000_000L;

    private TimeUnits() {}

    /** Converts nanoseconds to seconds. */
    static double seconds(long nanos) {
        return nanos / (double) SECOND;
    }
}
