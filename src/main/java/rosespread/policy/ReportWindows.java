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
    /** Minimum number of reports over which load and answers are averaged; fewer vary too much. */
    private static final double LOAD_REPORTS = 20;

    /**
     * Minimum number of reports over which demand is averaged; fewer than for load, as a change in
     * demand must become visible sooner.
     */
    private static final double DEMAND_REPORTS = 2.5;

    /** Time constant of the mean interval between reports; covers a few reports at any rate. */
    private static final long INTERVAL_WINDOW_NANOS = 5 * TimeUnits.SECOND;

    /**
     * Number of report intervals after which a node without an answer, while other nodes have
     * answers, is silent and not busy.
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
     * Observed interval between a node's reports in nanoseconds. The intake may deliver reports far
     * more slowly than they are collected.
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
