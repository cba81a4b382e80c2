package rosespread.controller;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.EventHandler;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.channel.Frame;

/**
 * Sums the proxies' load reports by zone and node until they are delivered to the policy, once per
 * report period. The time that a zone's totals cover is the sum of the periods of all the zone's
 * reports, divided by the number of proxies that reported. So several late reports of one proxy
 * that arrive together cover several periods, not one.
 *
 * <p>Owned by the event-loop thread.
 */
final class LoadReportAggregator {
    private static final long NANOS_PER_MICRO = 1000L;

    /**
     * The attempts, failures, mean latency and last utilization in the reports of one zone's
     * proxies about one node.
     */
    private static final class NodeTotals {
        private int attempts;
        private int failures;
        private double latencySeconds;
        private int timedAttempts;
        private double utilization = Double.NaN;

        void add(Frame.Sum sum) {
            attempts += sum.tries();
            failures += sum.unanswered();
            if (!Double.isNaN(sum.latency())) {
                int answered = sum.tries() - sum.unanswered();
                latencySeconds += sum.latency() * answered;
                timedAttempts += answered;
            }
            if (!Double.isNaN(sum.utilization())) {
                utilization = sum.utilization();
            }
        }

        double meanLatencySeconds() {
            return timedAttempts > 0 ? latencySeconds / timedAttempts : Double.NaN;
        }
    }

    /**
     * The totals by node in the reports of one zone's proxies, and the time that the reports cover.
     */
    private static final class ZoneTotals {
        private final TreeMap<NodeId, NodeTotals> nodes = new TreeMap<>();
        private final TreeSet<ProxyId> proxies = new TreeSet<>();
        private long coveredNanos;

        void add(ProxyId proxy, Frame.Sums report) {
            proxies.add(proxy);
            coveredNanos += report.coversMicros() * NANOS_PER_MICRO;
            for (Frame.Sum sum : report.sums()) {
                nodes.computeIfAbsent(sum.node(), node -> new NodeTotals()).add(sum);
            }
        }

        void deliverTo(EventHandler policy, ZoneId zone) {
            long coveredNanosPerProxy = coveredNanos / proxies.size();
            nodes.forEach(
                    (node, totals) ->
                            policy.loadReported(
                                    node,
                                    zone,
                                    totals.attempts,
                                    totals.failures,
                                    totals.meanLatencySeconds(),
                                    coveredNanosPerProxy,
                                    totals.utilization));
        }
    }

    private final TreeMap<ZoneId, ZoneTotals> zones = new TreeMap<>();

    /** Adds a load report of a proxy. */
    void add(ProxyId proxy, ZoneId zone, Frame.Sums report) {
        zones.computeIfAbsent(zone, key -> new ZoneTotals()).add(proxy, report);
    }

    /**
     * Delivers the totals of each zone and node to the policy, in the order of zones and, within a
     * zone, of nodes.
     */
    void deliverTo(EventHandler policy) {
        for (Map.Entry<ZoneId, ZoneTotals> zone : zones.entrySet()) {
            zone.getValue().deliverTo(policy, zone.getKey());
        }
    }
}
