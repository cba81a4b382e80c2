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
 * Adds up what proxies of a zone met at each node until it is handed to the module, once a report
 * period. The time covered is that of all reports over the number of proxies that reported, so that
 * several late reports of a proxy that come at once cover as many periods.
 */
final class LoadReportAggregator {
    private static final class Met {
        int tries;
        int unanswered;
        double seconds;
        int timed;
        double utilization = Double.NaN;
    }

    private static final class Zone {
        final TreeMap<NodeId, Met> met = new TreeMap<>();
        final TreeSet<ProxyId> proxies = new TreeSet<>();
        long covers;
    }

    private final TreeMap<ZoneId, Zone> zones = new TreeMap<>();

    void add(ProxyId proxy, ZoneId id, Frame.Sums sums) {
        Zone zone = zones.computeIfAbsent(id, z -> new Zone());
        zone.proxies.add(proxy);
        zone.covers += sums.coversMicros() * 1000;
        for (Frame.Sum sum : sums.sums()) {
            Met met = zone.met.computeIfAbsent(sum.node(), n -> new Met());
            met.tries += sum.tries();
            met.unanswered += sum.unanswered();
            if (!Double.isNaN(sum.latency())) {
                int answered = sum.tries() - sum.unanswered();
                met.seconds += sum.latency() * answered;
                met.timed += answered;
            }
            if (!Double.isNaN(sum.utilization())) {
                met.utilization = sum.utilization();
            }
        }
    }

    /** Hands over all that was gathered. */
    void deliverTo(EventHandler observer) {
        for (Map.Entry<ZoneId, Zone> entry : zones.entrySet()) {
            Zone zone = entry.getValue();
            long covers = zone.covers / zone.proxies.size();
            for (Map.Entry<NodeId, Met> line : zone.met.entrySet()) {
                Met met = line.getValue();
                observer.loadReported(
                        line.getKey(),
                        entry.getKey(),
                        met.tries,
                        met.unanswered,
                        met.timed > 0 ? met.seconds / met.timed : Double.NaN,
                        covers,
                        met.utilization);
            }
        }
    }
}
