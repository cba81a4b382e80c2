package rosespread.platform;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;

/** Weighs the load of joined proxies on each cold node, over a window, against its capacity. */
final class ColdNodeChecker {
    /** A cold node bears so many times its capacity for a window; it fails beyond that. */
    private static final double MAX_LOAD = 3;

    private static final int WINDOW_SAMPLES = 5;

    /** The part of the warm nodes' capacity at the start that all proxies together offer. */
    private static final double UTILIZATION = 0.65;

    private final PolicySettings settings;
    private final FleetFindings findings;
    private final Map<NodeId, Long> startedNanos = new TreeMap<>();
    private final Map<NodeId, ArrayDeque<Double>> loadSamples = new TreeMap<>();
    private int warmNodes;

    ColdNodeChecker(PolicySettings settings, FleetFindings findings) {
        this.settings = settings;
        this.findings = findings;
    }

    /** A node that was warm at the start. */
    void warm() {
        warmNodes++;
    }

    /** A node that started then, and is cold at first. */
    void started(NodeId node, long nanos) {
        startedNanos.put(node, nanos);
    }

    void check(Collection<SimulatedProxy> proxies, long now) {
        if (startedNanos.isEmpty()) {
            return;
        }
        double demand = proxies.stream().mapToDouble(SimulatedProxy::requestsPerSecond).sum();
        double capacity = demand / (UTILIZATION * warmNodes);
        Map<NodeId, Double> loads = new HashMap<>();
        proxies.stream().filter(SimulatedProxy::isJoined).forEach(proxy -> proxy.addLoads(loads));
        startedNanos.forEach(
                (node, started) -> {
                    double warmUpRatio = warmUpRatio(now - started);
                    double load = loads.getOrDefault(node, 0.0) / (capacity * warmUpRatio);
                    double mean = addSample(node, load);
                    if (warmUpRatio < 1) {
                        judge(node, mean, started, now);
                    }
                });
    }

    private double warmUpRatio(long ageNanos) {
        double cold = settings.coldCapacityRatio();
        return cold + (1 - cold) * ageNanos / settings.warmUpNanos();
    }

    private double addSample(NodeId node, double load) {
        ArrayDeque<Double> window = loadSamples.computeIfAbsent(node, absent -> new ArrayDeque<>());
        window.addLast(load);
        if (window.size() > WINDOW_SAMPLES) {
            window.removeFirst();
        }
        return window.stream().mapToDouble(sample -> sample).sum() / WINDOW_SAMPLES;
    }

    private void judge(NodeId node, double load, long started, long now) {
        findings.coldLoad(load);
        if (load > MAX_LOAD) {
            findings.overloaded(
                    node,
                    "%s at %d ms, started %d"
                            .formatted(node, now / FleetModel.MILLI, started / FleetModel.MILLI));
        }
    }
}
