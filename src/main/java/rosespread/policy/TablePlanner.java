package rosespread.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;
import rosespread.policy.state.Node;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Works out the desired weights and commits what truly differs, each change with the table's one
 * pending delivery. Done once a tick, and as the list or the shards change: it costs a look at each
 * node for each shard.
 */
final class TablePlanner {
    /** An entry is committed again when it differs by more than this part. */
    private static final double ENTRY_BAND = 0.07;

    /** How the band grows with the seconds of channel that a new full table for all would take. */
    private static final double ENTRY_BAND_GROWTH = 0.5;

    /** How far spare capacity leans to larger nodes. */
    private static final double LARGE_NODE_BIAS = 1.3;

    /** The part of its weight that the bias leaves a small node at least. */
    private static final double MIN_BIASED_PART = 0.25;

    /** The part of its capacity that more restricted tables leave a node at least. */
    private static final double MIN_REMAINING_PART = 0.1;

    /** Load ratio from which what more restricted tables take is reckoned. */
    private static final double MIN_LOAD_RATIO = 0.1;

    /** The least weight of an entry, as 0 would remove it. */
    private static final double MIN_WEIGHT = 1e-4;

    private final PolicySettings settings;
    private final ProxyRegistry proxies;
    private final ShardRegistry shards;
    private final EligibleNodes eligible;
    private final SlowStart slowStart;
    private final CapacityUnits units;
    private final LoadEstimator load;
    private final CapacityEstimator capacity;
    private final DemandEstimator demands;

    TablePlanner(
            PolicySettings settings,
            ProxyRegistry proxies,
            ShardRegistry shards,
            EligibleNodes eligible,
            SlowStart slowStart,
            CapacityUnits units,
            LoadEstimator load,
            CapacityEstimator capacity,
            DemandEstimator demands) {
        this.settings = settings;
        this.proxies = proxies;
        this.shards = shards;
        this.eligible = eligible;
        this.slowStart = slowStart;
        this.units = units;
        this.load = load;
        this.capacity = capacity;
        this.demands = demands;
    }

    /** Commits the desired weights of all tables, those with the fewest nodes first. */
    void commitAll(long now) {
        double loadRatio = load.loadRatio(now);
        List<ShardTable> narrowestFirst = new ArrayList<>(shards.firstTables());
        narrowestFirst.sort(Comparator.comparingInt(table -> eligible.of(table, now).size()));
        Map<NodeId, Double> taken = new TreeMap<>();
        for (ShardTable table : narrowestFirst) {
            commitLike(table, desiredWeights(table, loadRatio, taken, now));
        }
    }

    private void commitLike(ShardTable like, Map<NodeId, Double> desired) {
        for (ShardTable table :
                shards.tables().stream().filter(t -> t.isCounterpartOf(like)).toList()) {
            commit(table, desired);
        }
    }

    private void commit(ShardTable table, Map<NodeId, Double> desired) {
        double band =
                ENTRY_BAND
                        * (1
                                + ENTRY_BAND_GROWTH
                                        * desired.size()
                                        * proxies.size()
                                        / settings.entriesPerSecond());
        List<NodeId> removed =
                table.committed().keySet().stream().filter(id -> !desired.containsKey(id)).toList();
        boolean changed = !removed.isEmpty();
        removed.forEach(id -> table.commit(id, 0));
        for (Map.Entry<NodeId, Double> entry : desired.entrySet()) {
            double weight = entry.getValue();
            double old = table.committed().getOrDefault(entry.getKey(), 0.0);
            if (Math.abs(weight - old) > band * old) {
                table.commit(entry.getKey(), weight);
                changed = true;
            }
        }
        if (changed) {
            table.nextVersion();
        }
    }

    /**
     * Each eligible node by its capacity, what more restricted tables take of it, its warm-up and
     * its health.
     *
     * @param taken RPCs a second in units of capacity that narrower tables send each node; this
     *     table's are added
     */
    private Map<NodeId, Double> desiredWeights(
            ShardTable table, double loadRatio, Map<NodeId, Double> taken, long now) {
        List<Node> nodes = eligible.of(table, now);
        double mean = nodes.stream().mapToDouble(Node::listedWeight).average().orElse(1);
        boolean utilizationKnown = nodes.stream().anyMatch(n -> n.recentUtilization().known(now));
        double warmingBound = slowStart.weightBound(loadRatio, units.known(), utilizationKnown);
        Map<NodeId, Double> desired = new LinkedHashMap<>();
        for (Node node : nodes) {
            double size = node.capacity();
            double used = taken.getOrDefault(node.id(), 0.0) / Math.max(loadRatio, MIN_LOAD_RATIO);
            double remaining = Math.max(MIN_REMAINING_PART * size, size - used);
            double weight = favorLarge(remaining / mean) * load.effectiveRatio(node, table, now);
            if (slowStart.warmingUp(node, now)) {
                weight *= warmingBound;
            }
            desired.put(node.id(), Math.max(weight, MIN_WEIGHT));
        }
        addTaken(table, desired, taken, now);
        return desired;
    }

    private void addTaken(
            ShardTable table, Map<NodeId, Double> desired, Map<NodeId, Double> taken, long now) {
        double sum = desired.values().stream().mapToDouble(w -> w).sum();
        double share =
                table.methods().stream().mapToDouble(method -> demands.demand(method, now)).sum()
                        / units.unit();
        if (shards.firstTables().size() > 1 && !Double.isNaN(share)) {
            desired.forEach((id, weight) -> taken.merge(id, share * weight / sum, Double::sum));
        }
    }

    /**
     * With capacity to spare the larger nodes take more than their part: each node keeps spare
     * capacity by the root of its size, which is what costs the least waiting; near full load
     * nothing of that is left.
     */
    private double favorLarge(double size) {
        double bias = LARGE_NODE_BIAS * capacity.spareCapacityRatio();
        return Math.max(MIN_BIASED_PART * size, size - bias * Math.sqrt(size)) / (1 - bias);
    }
}
