package rosespread.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.channel.Frame;

/**
 * Aggregates a proxy's measurements since its last load report. Confined to the loop's thread; all
 * times in nanoseconds of the loop's clock.
 */
final class LoadReporter {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MICRO = 1_000L;

    /** Measurements of one node; a missing utilization is NaN, as on the channel. */
    private static final class NodeLoad {
        int attempts;
        int failedAttempts;
        double latencySeconds;
        double utilization = Double.NaN;

        double meanLatencySeconds() {
            int answered = attempts - failedAttempts;
            return answered > 0 ? latencySeconds / answered : Double.NaN;
        }
    }

    /** The load report and demand report of one period. */
    record LoadReport(Frame.Sums loads, Frame.Offered demand) {}

    private final Map<NodeId, NodeLoad> loads = new TreeMap<>();
    private final Map<MethodId, Integer> demand = new TreeMap<>();
    private long reportedNanos;

    /** Discards all measurements; the next report covers the time from now on. */
    void reset(long nanos) {
        loads.clear();
        demand.clear();
        reportedNanos = nanos;
    }

    /** Counts an RPC received from a client. */
    void requestReceived(MethodId method) {
        demand.merge(method, 1, Integer::sum);
    }

    /**
     * Counts an attempt that a node answered with success.
     *
     * @param utilization utilization that the node reported; NaN if it reported none
     */
    void attemptSucceeded(NodeId node, long latencyNanos, double utilization) {
        NodeLoad load = load(node);
        load.attempts++;
        load.latencySeconds += latencyNanos / NANOS_PER_SECOND;
        if (!Double.isNaN(utilization)) {
            load.utilization = utilization;
        }
    }

    /** Counts an attempt that failed at a node. */
    void attemptFailed(NodeId node) {
        NodeLoad load = load(node);
        load.attempts++;
        load.failedAttempts++;
    }

    private NodeLoad load(NodeId node) {
        return loads.computeIfAbsent(node, id -> new NodeLoad());
    }

    /** Returns the report for the time since the last report, and starts the next period. */
    LoadReport report(long nanos) {
        long coversMicros = (nanos - reportedNanos) / NANOS_PER_MICRO;
        reportedNanos = nanos;
        List<Frame.Sum> sums = new ArrayList<>();
        loads.forEach(
                (node, load) ->
                        sums.add(
                                new Frame.Sum(
                                        node,
                                        load.attempts,
                                        load.failedAttempts,
                                        load.meanLatencySeconds(),
                                        load.utilization)));
        loads.clear();
        List<Frame.Count> counts = new ArrayList<>();
        demand.forEach((method, count) -> counts.add(new Frame.Count(method, count)));
        // A method stays in the reports after its first RPC, with count 0 when there is no demand.
        demand.replaceAll((method, count) -> 0);
        return new LoadReport(
                new Frame.Sums(coversMicros, sums), new Frame.Offered(coversMicros, counts));
    }
}
