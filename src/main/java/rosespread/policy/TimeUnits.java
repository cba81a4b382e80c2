package rosespread.policy;

/** Spans of time in nanoseconds. */
final class TimeUnits {
    static final long SECOND = 1_000_000_000L;

    private TimeUnits() {}

    /** A span of nanoseconds in seconds. */
    static double seconds(long nanos) {
        return nanos / (double) SECOND;
    }
}
