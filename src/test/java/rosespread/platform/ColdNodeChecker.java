package rosespread.platform;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;

/**
 * Compares the load from joined proxies on each cold node, averaged over a window, with the node's
 * capacity.
 */
final class ColdNodeChecker {
    /** Multiple of its capacity that a cold node withstands for a window; it fails above that. */
    private static final double MAX_LOAD_RATIO = 3;

    private static final int WINDOW_SAMPLES = 5;

    /**
     * Load of all proxies as a fraction of the capacity of the nodes that are warm at the start.
     */
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

    /** Adds a node that is warm at the start. */
    void addWarmNode() {
        warmNodes++;
    }

    /** Adds a node that started at this time and is cold at first. */
    void addColdNode(NodeId node, long nanos) {
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
                        checkLoad(node, mean, started, now);
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

    private void checkLoad(NodeId node, double load, long started, long now) {
        findings.recordColdLoad(load);
        if (load > MAX_LOAD_RATIO) {
            findings.addOverloadedColdNode(
                    node,
                    "%s at %d ms, started %d"
                            .formatted(node, now / FleetModel.MILLI, started / FleetModel.MILLI));
        }
    }
}
