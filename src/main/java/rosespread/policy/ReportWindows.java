package rosespread.policy;

import rosespread.api.PolicySettings;
import rosespread.policy.state.Node;
import rosespread.stats.DecayingSum;
import rosespread.stats.WindowedRate;

/**
 * Over which time reports are averaged, and until when they count as fresh. Where the intake spaces
 * reports out, the windows grow with their spacing.
 */
final class ReportWindows {
    /** Load and answers are averaged over so many reports at least: fewer waver too much. */
    private static final double LOAD_REPORTS = 20;

    /** Demand is averaged over so many reports: it has to be seen sooner. */
    private static final double DEMAND_REPORTS = 2.5;

    /** Time constant of the mean interval between reports: a few reports of any pace. */
    private static final long INTERVAL_WINDOW_NANOS = 5 * TimeUnits.SECOND;

    /**
     * A node without an answer for so many reports, while others have them, is silent, not busy.
     */
    private static final double FRESH_REPORTS = 2.5;

    private final PolicySettings settings;
    private final DecayingSum coveredNanos = new DecayingSum(INTERVAL_WINDOW_NANOS);
    private final DecayingSum reports = new DecayingSum(INTERVAL_WINDOW_NANOS);
    private double loadWindowNanos;

    ReportWindows(PolicySettings settings) {
        this.settings = settings;
    }

    /** Counts a load report that covers so many nanoseconds. */
    void reportReceived(long now, long nanos) {
        coveredNanos.add(now, nanos);
        reports.add(now, 1);
    }

    /** Sets the window of load in nanoseconds; so many reports are the least all the same. */
    void setLoadWindow(double nanos) {
        loadWindowNanos = nanos;
    }

    /** Adds what was counted in some seconds to a rate of load or answers. */
    void addLoad(WindowedRate rate, long now, double counted, double seconds) {
        double least = LOAD_REPORTS * settings.reportPeriodNanos();
        rate.add(now, counted, seconds, Math.max(least, loadWindowNanos));
    }

    /** Adds what was counted in some seconds to a rate of demand. */
    void addDemand(WindowedRate rate, long now, double counted, double seconds) {
        double least = DEMAND_REPORTS * settings.reportPeriodNanos();
        rate.add(now, counted, seconds, Math.max(least, reportIntervalNanos(now)));
    }

    /**
     * The time between a node's reports as met: the intake may hand them out far slower than
     * gathered.
     */
    private double reportIntervalNanos(long now) {
        return Math.max(
                settings.reportPeriodNanos(),
                coveredNanos.read(now) / Math.max(1, reports.read(now)));
    }

    /** Whether the node's last answer is so recent, seen from this time, that it is not silent. */
    boolean fresh(Node node, long at, long now) {
        return at - node.answeredAt() < FRESH_REPORTS * reportIntervalNanos(now);
    }
}
