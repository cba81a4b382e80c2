package rosespread.policy;

import rosespread.api.PolicySettings;
import rosespread.policy.state.Node;
import rosespread.stats.DecayingSum;
import rosespread.stats.WindowedRate;

/**
 * Time windows over which reports are averaged, and the age up to which they count as fresh. If the
 * intake delivers reports at longer intervals, the windows grow with the interval.
 */
final class ReportWindows {
    /**
     * Minimum number of report periods over which load and answers are averaged; averages over
     * fewer reports vary too much.
     */
    private static final double LOAD_REPORTS = 20;

    /**
     * Minimum number of report periods over which demand is averaged; fewer than for load, as a
     * change in demand must become visible sooner.
     */
    private static final double DEMAND_REPORTS = 2.5;

    /**
     * Decay time constant of the two sums, covered time and report count, from which the mean
     * interval between load reports is calculated; it does not depend on that interval.
     */
    private static final long INTERVAL_WINDOW_NANOS = 5 * TimeUnits.SECOND;

    /**
     * A node counts as silent, not busy, if its last answer is at least this many report intervals
     * older than the time it is compared with: the newest answer of any node, or the current time.
     */
    private static final double FRESH_REPORTS = 2.5;

    private final PolicySettings settings;
    private final DecayingSum coveredNanos = new DecayingSum(INTERVAL_WINDOW_NANOS);
    private final DecayingSum reports = new DecayingSum(INTERVAL_WINDOW_NANOS);
    private double loadWindowNanos;

    ReportWindows(PolicySettings settings) {
        this.settings = settings;
    }

    /**
     * Counts a load report.
     *
     * @param now clock reading in nanoseconds
     * @param reportNanos time that the report covers
     */
    void reportReceived(long now, long reportNanos) {
        coveredNanos.add(now, reportNanos);
        reports.add(now, 1);
    }

    /** Sets the load window in nanoseconds; the minimum number of reports still applies. */
    void setLoadWindow(double nanos) {
        loadWindowNanos = nanos;
    }

    /** Adds a count and the seconds that it covers to a rate of load or answers. */
    void addLoad(WindowedRate rate, long now, double counted, double seconds) {
        double minNanos = LOAD_REPORTS * settings.reportPeriodNanos();
        rate.add(now, counted, seconds, Math.max(minNanos, loadWindowNanos));
    }

    /** Adds a count and the seconds that it covers to a rate of demand. */
    void addDemand(WindowedRate rate, long now, double counted, double seconds) {
        double minNanos = DEMAND_REPORTS * settings.reportPeriodNanos();
        rate.add(now, counted, seconds, Math.max(minNanos, reportIntervalNanos(now)));
    }

    /**
     * Observed mean interval between a node's reports in nanoseconds, at least the report period of
     * the settings. The intake may deliver reports at far longer intervals than the report period.
     */
    private double reportIntervalNanos(long now) {
        return Math.max(
                settings.reportPeriodNanos(),
                coveredNanos.read(now) / Math.max(1, reports.read(now)));
    }

    /**
     * Whether a node's last answer is recent enough at a given time for the node not to be silent.
     *
     * @param at clock reading in nanoseconds at which the age of the answer counts
     * @param now current clock reading in nanoseconds
     */
    boolean fresh(Node node, long at, long now) {
        return at - node.answeredAt() < FRESH_REPORTS * reportIntervalNanos(now);
    }
}
