package rosespread.scenario;

import org.HdrHistogram.Histogram;

/** How long drains, rollbacks and changes took during a run; all in milliseconds. */
record RunDurations(
        Histogram drains,
        Histogram operatorDrains,
        Histogram rollbacks,
        Histogram changes,
        Histogram pacedChanges) {
    private static final double MILLIS_PER_SECOND = 1_000;

    static RunDurations of(InvariantChecker checker) {
        return new RunDurations(
                checker.drainMillis(),
                checker.operatorDrainMillis(),
                checker.rollbackMillis(),
                checker.changeMillis(),
                checker.pacedMillis());
    }

    /** A percentile of one of the histograms in seconds; 0 if the histogram is empty. */
    static double seconds(Histogram millis, double percentile) {
        return millis.getValueAtPercentile(percentile) / MILLIS_PER_SECOND;
    }

    /** The greatest value of one of the histograms in seconds. */
    static double maxSeconds(Histogram millis) {
        return millis.getMaxValue() / MILLIS_PER_SECOND;
    }
}
