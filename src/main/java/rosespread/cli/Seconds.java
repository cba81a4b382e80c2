package rosespread.cli;

import java.time.Duration;

/** Converts option values in seconds, which may have fractions. */
final class Seconds {
    private static final double NANOS_PER_SECOND = 1e9;

    private Seconds() {}

    /** Truncates to whole nanoseconds; a longer time becomes the maximum of a {@code long}. */
    static Duration toDuration(double seconds) {
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND));
    }

    static double ofNanos(long nanos) {
        return nanos / NANOS_PER_SECOND;
    }
}
