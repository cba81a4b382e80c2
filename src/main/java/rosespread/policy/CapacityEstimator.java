package rosespread.policy;

import java.util.List;
import java.util.stream.Stream;
import rosespread.api.MachineTypeId;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;

/**
 * Learns the capacity of machine types and of nodes from what they answer at which load, and how
 * much capacity is spare.
 */
final class CapacityEstimator {
    /** Answers of a node over which its load is averaged: fewer waver by a fifth. */
    private static final double WINDOW_ANSWERS = 80;

    /** What like machines showed counts as so many answers of a node's own. */
    private static final double PRIOR_ANSWERS = 25;

    /** A capacity is adjusted once in this time, so that its effect is seen in between. */
    private static final long ADJUSTMENT_INTERVAL_NANOS = TimeUnits.SECOND;

    /** Part of the gap by which a capacity is adjusted: damped, as several controllers adjust. */
    private static final double ADJUSTMENT_PART = 0.6;

    /** A gap within this band is noise and leaves the capacity as it is. */
    private static final double ADJUSTMENT_BAND = 0.08;

    /** Bounds of a capacity against the listed weight. */
    private static final double MIN_CAPACITY_FACTOR = 0.25;

    private static final double MAX_CAPACITY_FACTOR = 3;

    /** How much larger than its like a node may seem at their latency. */
    private static final double MAX_CAPACITY_AT_TYPE_LATENCY = 1.3;

    /** Load below which a reported utilization counts as at least this. */
    private static final double MIN_LOAD = 0.02;

    /** How fast the spare capacity ratio may grow with each adjustment. */
    private static final double SPARE_RATIO_GROWTH = 0.05;

    /** The most spare capacity that plans count on. */
    private static final double MAX_SPARE_RATIO = 0.6;

    private final NodeRegistry nodes;
    private final ReportWindows windows;
    private final CapacityUnits units;
    private final LoadEstimator load;
    private long nextAdjustment;
    private double spareCapacityRatio;
    private boolean reliable;

    CapacityEstimator(
            NodeRegistry nodes, ReportWindows windows, CapacityUnits units, LoadEstimator load) {
        this.nodes = nodes;
        this.windows = windows;
        this.units = units;
        this.load = load;
    }

    /** The part of all capacity that is not used, 0 while load is shed. */
    double spareCapacityRatio() {
        return spareCapacityRatio;
    }

    /** Whether enough answers were counted to trust the units. */
    boolean reliable() {
        return reliable;
    }

    /**
     * Learns from what was reported so far.
     *
     * @param shedding whether load is shed, so that no capacity counts as spare
     */
    void estimate(long now, boolean shedding) {
        nodes.ready().stream()
                .map(Node::machineType)
                .distinct()
                .forEach(type -> units.setLatency(type, meanLatency(type, now)));
        double meanLatency = meanLatency(null, now);
        double unit = measuredUnit(null, meanLatency, now);
        if (!(unit > 0)) {
            return;
        }
        units.setUnit(unit);
        for (MachineTypeId type : units.types()) {
            units.setUnit(type, measuredUnit(type, meanLatency, now));
        }
        measureAnswers(now);
        if (now >= nextAdjustment && reliable) {
            nextAdjustment = now + ADJUSTMENT_INTERVAL_NANOS;
            adjust(meanLatency, now, shedding);
        }
    }

    private void measureAnswers(long now) {
        List<Node> ready = nodes.ready();
        double rate = ready.stream().mapToDouble(node -> node.answeredPerSecond(now)).sum();
        windows.setLoadWindow(WINDOW_ANSWERS * ready.size() / rate * TimeUnits.SECOND);
        double answers =
                ready.stream()
                        .flatMap(node -> node.answeredRates().stream())
                        .mapToDouble(r -> r.counted(now))
                        .sum();
        reliable = answers > PRIOR_ANSWERS * units.types().size();
    }

    private void adjust(double meanLatency, long now, boolean shedding) {
        List<Node> ready = nodes.ready();
        if (ready.stream().anyMatch(node -> windows.fresh(node, now, now))) {
            double spare = Math.max(0, Math.min(MAX_SPARE_RATIO, 1 - load.loadRatio(now)));
            spareCapacityRatio =
                    shedding ? 0 : Math.min(spareCapacityRatio + SPARE_RATIO_GROWTH, spare);
        }
        ready.stream()
                .filter(node -> !node.ejected() && freshOrNeverAnswered(node, now))
                .forEach(node -> adjust(node, load(node, meanLatency, now), now));
    }

    private boolean freshOrNeverAnswered(Node node, long now) {
        return windows.fresh(node, now, now) || node.answeredAt() == Node.NEVER;
    }

    /** The nodes of a machine type that are not ejected, of all types if none is named. */
    private Stream<Node> healthy(MachineTypeId type) {
        return nodes.ready().stream()
                .filter(
                        node ->
                                !node.ejected()
                                        && (type == null || type.equals(node.machineType())));
    }

    private double meanLatency(MachineTypeId type, long now) {
        return healthy(type)
                .filter(node -> node.latency().known(now))
                .mapToDouble(node -> node.latency().perSecond(now))
                .average()
                .orElse(Double.NaN);
    }

    private double measuredUnit(MachineTypeId type, double meanLatency, long now) {
        List<Node> measured =
                healthy(type).filter(node -> !Double.isNaN(load(node, meanLatency, now))).toList();
        return measured.stream().mapToDouble(node -> node.answeredPerSecond(now)).sum()
                / measured.stream()
                        .mapToDouble(node -> load(node, meanLatency, now) * node.listedWeight())
                        .sum();
    }

    /** Utilization where it is reported; else latency against the fleet's, NaN without either. */
    private double load(Node node, double meanLatency, long now) {
        if (node.utilization().known(now)) {
            return Math.max(MIN_LOAD, node.utilization().perSecond(now));
        }
        return node.latency().known(now)
                ? node.latency().perSecond(now) / meanLatency / 2
                : Double.NaN;
    }

    /**
     * Adjusts a capacity towards what the node answers for its load, by a part of the gap; by all
     * of it the first time, for the nodes there at a start: guards against small machines that take
     * as much as large ones. Without fresh answers it stays: guards against late reports being read
     * as a change of the machine.
     */
    private void adjust(Node node, double load, long now) {
        double gap = measuredCapacity(node, load, now) / (units.unit() * node.capacity());
        double factor = node.capacityFactor();
        if (Math.abs(gap - 1) > ADJUSTMENT_BAND) {
            double part = node.capacityAdjusted() ? ADJUSTMENT_PART : 1;
            factor =
                    Math.max(
                            MIN_CAPACITY_FACTOR,
                            Math.min(MAX_CAPACITY_FACTOR, factor * Math.pow(gap, part)));
        }
        node.adjustCapacity(factor);
    }

    /**
     * RPCs a second at full load by the node's own answers and those of its like. A node that
     * answers later than its like is not held to be larger: guards against reports that show too
     * little load.
     */
    private double measuredCapacity(Node node, double load, long now) {
        double prior = units.unit(node.machineType()) * node.listedWeight();
        double answers = node.answeredCount(now);
        double rate = node.answeredPerSecond(now);
        double capacity =
                rate <= 0 || Double.isNaN(load)
                        ? prior
                        : (answers + PRIOR_ANSWERS)
                                / (answers * load / rate + PRIOR_ANSWERS / prior);
        if (load < LoadEstimator.BUSY_UTILIZATION
                && node.latency().known(now)
                && units.latency(node.machineType()) > 0) {
            double atTypeLatency = prior * MAX_CAPACITY_AT_TYPE_LATENCY;
            return Math.min(
                    capacity,
                    atTypeLatency
                            * units.latency(node.machineType())
                            / node.latency().perSecond(now));
        }
        return capacity;
    }
}
