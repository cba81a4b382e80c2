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
 * Adds up what the proxies of each zone report of each node, until it is delivered to the policy
 * once a report period. The time covered is that of all reports over the number of proxies that
 * reported, so that several late reports of a proxy that come at once cover as many periods.
 *
 * <p>Owned by the event-loop thread.
 */
final class LoadReportAggregator {
    private static final long NANOS_PER_MICRO = 1000L;

    /** What the proxies of a zone reported of one node. */
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

    /** What the proxies of one zone reported. */
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
            long coveredByEach = coveredNanos / proxies.size();
            nodes.forEach(
                    (node, totals) ->
                            policy.loadReported(
                                    node,
                                    zone,
                                    totals.attempts,
                                    totals.failures,
                                    totals.meanLatencySeconds(),
                                    coveredByEach,
                                    totals.utilization));
        }
    }

    private final TreeMap<ZoneId, ZoneTotals> zones = new TreeMap<>();

    /** Adds a proxy's report. */
    void add(ProxyId proxy, ZoneId zone, Frame.Sums report) {
        zones.computeIfAbsent(zone, key -> new ZoneTotals()).add(proxy, report);
    }

    /** Delivers all that was reported, zone by zone and node by node in their order. */
    void deliverTo(EventHandler policy) {
        for (Map.Entry<ZoneId, ZoneTotals> zone : zones.entrySet()) {
            zone.getValue().deliverTo(policy, zone.getKey());
        }
    }
}
