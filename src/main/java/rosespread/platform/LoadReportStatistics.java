package rosespread.platform;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;

/**
 * What reports told since it was last asked: sums of RPCs as they came, before the module makes
 * anything of them, so that its view can be held against them.
 */
final class LoadReportStatistics {
    private long reports;
    private long tries;
    private long unanswered;
    private long offered;
    private double busy;
    private long busyReports;

    /** What was met at one node. */
    private static final class At {
        long tries;
        long unanswered;
        double latency;
        double busy = Double.NaN;
    }

    private final Map<NodeId, At> nodes = new TreeMap<>();

    void sums(NodeId node, Message.LoadReport sums) {
        At at = nodes.computeIfAbsent(node, fresh -> new At());
        at.tries += sums.attempts();
        at.unanswered += sums.failures();
        at.latency +=
                Double.isNaN(sums.latencySeconds())
                        ? 0
                        : sums.latencySeconds() * (sums.attempts() - sums.failures());
        at.busy = Double.isNaN(sums.utilization()) ? at.busy : sums.utilization();
        reports++;
        tries += sums.attempts();
        unanswered += sums.failures();
        if (!Double.isNaN(sums.utilization())) {
            busy += sums.utilization();
            busyReports++;
        }
    }

    void offered(Message.DemandReport told) {
        reports++;
        offered += told.requests();
    }

    /** One node's figures: tries, how many of them unanswered, mean milliseconds, busy share. */
    String read(NodeId node) {
        At at = nodes.getOrDefault(node, new At());
        return String.format(
                Locale.ROOT,
                "%d-%d %.0fms %.2f",
                at.tries,
                at.unanswered,
                at.latency / Math.max(1, at.tries - at.unanswered) * 1e3,
                at.busy);
    }

    /** The figures, and begins anew. */
    String read() {
        String told =
                String.format(
                        Locale.ROOT,
                        "heard reports %d tries %d unanswered %d offered %d busy %.2f",
                        reports,
                        tries,
                        unanswered,
                        offered,
                        busyReports == 0 ? Double.NaN : busy / busyReports);
        reports = 0;
        tries = 0;
        unanswered = 0;
        offered = 0;
        busy = 0;
        busyReports = 0;
        nodes.clear();
        return told;
    }
}
