package rosespread.platform;

import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;

/**
 * Sums of load and demand reports as received, before the policy evaluates them, so that the
 * policy's view can be compared with the reports. Owned by the event-loop thread.
 */
final class LoadReportStatistics {
    private static final double MILLIS_PER_SECOND = 1e3;

    /**
     * Sums over all nodes and proxies.
     *
     * @param demand requests that proxies received
     * @param meanUtilization mean over the reports that carry a utilization, NaN if none did
     */
    record Totals(
            long reports, long attempts, long failures, long demand, double meanUtilization) {}

    /**
     * Sums over one node's reports.
     *
     * @param meanLatencyMillis mean over attempts that did not fail, 0 if there was none
     * @param utilization last reported value, NaN if none was reported
     */
    record NodeTotals(long attempts, long failures, double meanLatencyMillis, double utilization) {}

    private static final class NodeSums {
        private long attempts;
        private long failures;
        private double latencySeconds;
        private double utilization = Double.NaN;

        void add(Message.LoadReport report) {
            int succeeded = report.attempts() - report.failures();
            attempts += report.attempts();
            failures += report.failures();
            if (!Double.isNaN(report.latencySeconds())) {
                latencySeconds += report.latencySeconds() * succeeded;
            }
            if (!Double.isNaN(report.utilization())) {
                utilization = report.utilization();
            }
        }

        NodeTotals totals() {
            double meanSeconds = latencySeconds / Math.max(1, attempts - failures);
            return new NodeTotals(attempts, failures, meanSeconds * MILLIS_PER_SECOND, utilization);
        }
    }

    private final Map<NodeId, NodeSums> nodes = new TreeMap<>();
    private long reports;
    private long attempts;
    private long failures;
    private long demand;
    private double utilization;
    private long utilizationReports;

    /** Adds a load report of a node. */
    void add(NodeId node, Message.LoadReport report) {
        nodes.computeIfAbsent(node, absent -> new NodeSums()).add(report);
        reports++;
        attempts += report.attempts();
        failures += report.failures();
        if (!Double.isNaN(report.utilization())) {
            utilization += report.utilization();
            utilizationReports++;
        }
    }

    /** Adds a demand report. */
    void add(Message.DemandReport report) {
        reports++;
        demand += report.requests();
    }

    /** Returns one node's sums since the last {@link #takeTotals}. */
    NodeTotals of(NodeId node) {
        return nodes.getOrDefault(node, new NodeSums()).totals();
    }

    /** Returns the sums since the last call and resets all sums, including those of nodes. */
    Totals takeTotals() {
        double mean = utilizationReports == 0 ? Double.NaN : utilization / utilizationReports;
        Totals totals = new Totals(reports, attempts, failures, demand, mean);
        reports = 0;
        attempts = 0;
        failures = 0;
        demand = 0;
        utilization = 0;
        utilizationReports = 0;
        nodes.clear();
        return totals;
    }
}
