package rosespread.policy;

import java.util.List;
import java.util.stream.Stream;
import rosespread.api.MachineTypeId;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;

/**
 * Estimates the capacity of machine types and of nodes from their rate of answers and their load,
 * and the fraction of all capacity that is spare.
 */
final class CapacityEstimator {
    /**
     * Mean number of answers per node over which load is averaged; with fewer answers, the average
     * varies by a fifth.
     */
    private static final double WINDOW_ANSWERS = 80;

    /**
     * Number of answers of a node at which its own measurements and those of its machine type have
     * equal weight in the node's capacity.
     */
    private static final double PRIOR_ANSWERS = 25;

    /** Interval between capacity adjustments, long enough to see the effect of the previous one. */
    private static final long ADJUSTMENT_INTERVAL_NANOS = TimeUnits.SECOND;

    /**
     * Exponent of the ratio of measured to current capacity. It is less than 1 to damp each
     * adjustment, as several controllers adjust.
     */
    private static final double ADJUSTMENT_EXPONENT = 0.6;

    /**
     * Relative deviation of the measured capacity from the current one up to which the deviation
     * counts as noise and the capacity is not changed.
     */
    private static final double ADJUSTMENT_TOLERANCE = 0.08;

    /** Bounds of a node's capacity relative to its listed weight. */
    private static final double MIN_CAPACITY_FACTOR = 0.25;

    private static final double MAX_CAPACITY_FACTOR = 3;

    /**
     * Upper bound of the measured capacity of a node that is not busy and has the mean latency of
     * its machine type, as a multiple of the capacity that the measurements of that type give for
     * the node. At other latencies, the bound is inversely proportional to the node's latency.
     */
    private static final double MAX_CAPACITY_AT_TYPE_LATENCY = 1.3;

    /** Lower bound of a node's load if the load is taken from its reported utilization. */
    private static final double MIN_LOAD = 0.02;

    /** Largest increase of the spare capacity ratio in one adjustment. */
    private static final double SPARE_RATIO_GROWTH = 0.05;

    /** Largest spare capacity ratio that the planner relies on. */
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

    /** The fraction of all capacity that counts as spare, 0 while load is shed. */
    double spareCapacityRatio() {
        return spareCapacityRatio;
    }

    /** Whether enough answers were counted to rely on the capacity units. */
    boolean reliable() {
        return reliable;
    }

    /**
     * Updates the estimates from the reports received so far.
     *
     * @param shedding whether load is shed; no capacity counts as spare then
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

    /** The ready nodes of a machine type that are not ejected; of all types if it is null. */
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

    /**
     * The node's load: its utilization if it is reported, otherwise half the ratio of its latency
     * to the mean of all nodes; NaN if neither is known.
     */
    private double load(Node node, double meanLatency, long now) {
        if (node.utilization().known(now)) {
            return Math.max(MIN_LOAD, node.utilization().perSecond(now));
        }
        return node.latency().known(now)
                ? node.latency().perSecond(now) / meanLatency / 2
                : Double.NaN;
    }

    /**
     * Adjusts a node's capacity towards the measured one. The first adjustment, for nodes that were
     * listed at the controller's start, takes effect in full, so that small machines do not get as
     * much load as large ones; later ones are damped. The caller leaves out nodes without fresh
     * answers, so that late reports are not taken for a change of the machine.
     */
    private void adjust(Node node, double load, long now) {
        double measuredRatio = measuredCapacity(node, load, now) / (units.unit() * node.capacity());
        double factor = node.capacityFactor();
        if (Math.abs(measuredRatio - 1) > ADJUSTMENT_TOLERANCE) {
            double exponent = node.capacityAdjusted() ? ADJUSTMENT_EXPONENT : 1;
            // StrictMath: the same decisions on every kind of machine.
            factor =
                    Math.max(
                            MIN_CAPACITY_FACTOR,
                            Math.min(
                                    MAX_CAPACITY_FACTOR,
                                    factor * StrictMath.pow(measuredRatio, exponent)));
        }
        node.adjustCapacity(factor);
    }

    /**
     * RPCs per second at full load, from the node's own answers and those of its machine type. The
     * capacity of a node that is not busy is bounded by its latency relative to the type's mean,
     * because its reports may state too little load.
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
            double maxAtTypeLatency = prior * MAX_CAPACITY_AT_TYPE_LATENCY;
            return Math.min(
                    capacity,
                    maxAtTypeLatency
                            * units.latency(node.machineType())
                            / node.latency().perSecond(now));
        }
        return capacity;
    }
}
