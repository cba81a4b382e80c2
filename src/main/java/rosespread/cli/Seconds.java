package rosespread.cli;

import java.time.Duration;

/** Converts the seconds, with fractions, that options are given in. */
final class Seconds {
    private static final double NANOS_PER_SECOND = 1e9;

    private Seconds() {}

    /** The time in whole nanoseconds, cut off; at most what a {@code long} holds. */
    static Duration toDuration(double seconds) {
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    static double ofNanos(long nanos) {
        return nanos / NANOS_PER_SECOND;
    }
}
