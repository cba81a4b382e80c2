package rosespread.policy;

import java.util.Locale;

/** How figures stand in log lines. */
final class LogFigures {
    private LogFigures() {}

    /** A figure with two decimals. */
    static String figure(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }
}
