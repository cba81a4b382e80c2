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
 * Computes the desired weights and commits those that differ significantly from the committed
 * weights; each change becomes part of the table's single pending delivery. Runs only at each
 * evaluation and when the node list or the shards change, as each run visits every node for every
 * shard.
 */
final class TablePlanner {
    /**
     * Relative difference between the desired and the committed weight of an entry above which the
     * desired weight is committed, before {@link #ENTRY_BAND_GROWTH} increases this value.
     */
    private static final double ENTRY_BAND = 0.07;

    /**
     * Relative growth of {@link #ENTRY_BAND} per second that the channel needs to send new full
     * tables to all proxies.
     */
    private static final double ENTRY_BAND_GROWTH = 0.5;

    /**
     * Strength of the shift of weight to larger nodes, as a multiple of the ratio of spare
     * capacity.
     */
    private static final double LARGE_NODE_BIAS = 1.3;

    /** Least fraction of its weight that a small node keeps when weight shifts to larger nodes. */
    private static final double MIN_BIASED_RATIO = 0.25;

    /** Least fraction of a node's capacity that counts as not used by more restricted tables. */
    private static final double MIN_REMAINING_RATIO = 0.1;

    /** Minimum load ratio in the estimate of the capacity that more restricted tables use. */
    private static final double MIN_LOAD_RATIO = 0.1;

    /** Minimum weight of an entry, as 0 would remove the entry. */
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
    private final ColdTableLimiter coldTables;

    TablePlanner(
            PolicySettings settings,
            ProxyRegistry proxies,
            ShardRegistry shards,
            EligibleNodes eligible,
            SlowStart slowStart,
            LoadModel model) {
        this.settings = settings;
        this.proxies = proxies;
        this.shards = shards;
        this.eligible = eligible;
        this.slowStart = slowStart;
        this.units = model.units();
        this.load = model.load();
        this.capacity = model.capacity();
        this.demands = model.demands();
        this.coldTables = model.coldTables();
    }

    /**
     * Commits the desired weights of all tables, starting with the tables that have the fewest
     * eligible nodes.
     */
    void commitAll(long now) {
        double loadRatio = load.loadRatio(now);
        List<ShardTable> fewestNodesFirst = new ArrayList<>(shards.firstTables());
        fewestNodesFirst.sort(Comparator.comparingInt(table -> eligible.of(table, now).size()));
        Map<NodeId, Double> assigned = new TreeMap<>();
        for (ShardTable table : fewestNodesFirst) {
            if (mustWaitForOtherNodes(table, now)) {
                continue;
            }
            commitCounterparts(table, desiredWeights(table, loadRatio, assigned, now));
        }
    }

    /**
     * Whether an empty table stays empty: its only nodes are warming up, the table's demand would
     * overload them, and proxies apply no admission limits that could protect the nodes.
     */
    private boolean mustWaitForOtherNodes(ShardTable table, long now) {
        return settings.throttle() == PolicySettings.Throttle.NONE
                && table.committed().isEmpty()
                && coldTables.overloadsColdNodes(table, now);
    }

    private void commitCounterparts(ShardTable first, Map<NodeId, Double> desired) {
        for (ShardTable table :
                shards.tables().stream().filter(t -> t.isCounterpartOf(first)).toList()) {
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
     * Computes the weight of each eligible node from its capacity, the load from more restricted
     * tables, its warm-up and its health.
     *
     * @param assigned RPCs per second, in units of capacity, that tables with fewer nodes send to
     *     each node; the load from this table is added
     */
    private Map<NodeId, Double> desiredWeights(
            ShardTable table, double loadRatio, Map<NodeId, Double> assigned, long now) {
        List<Node> nodes = eligible.of(table, now);
        double mean = nodes.stream().mapToDouble(Node::listedWeight).average().orElse(1);
        boolean utilizationKnown = nodes.stream().anyMatch(n -> n.recentUtilization().known(now));
        double warmUpFactor = slowStart.weightFactor(loadRatio, units.known(), utilizationKnown);
        Map<NodeId, Double> desired = new LinkedHashMap<>();
        for (Node node : nodes) {
            double nodeCapacity = node.capacity();
            double used =
                    assigned.getOrDefault(node.id(), 0.0) / Math.max(loadRatio, MIN_LOAD_RATIO);
            double remaining = Math.max(MIN_REMAINING_RATIO * nodeCapacity, nodeCapacity - used);
            double weight =
                    favorLargeNodes(remaining / mean) * load.effectiveRatio(node, table, now);
            if (slowStart.warmingUp(node, now)) {
                weight *= warmUpFactor;
            }
            desired.put(node.id(), Math.max(weight, MIN_WEIGHT));
        }
        addAssigned(table, desired, assigned, now);
        return desired;
    }

    private void addAssigned(
            ShardTable table, Map<NodeId, Double> desired, Map<NodeId, Double> assigned, long now) {
        double sum = desired.values().stream().mapToDouble(w -> w).sum();
        double tableDemand =
                table.methods().stream().mapToDouble(method -> demands.demand(method, now)).sum()
                        / units.unit();
        if (shards.firstTables().size() > 1 && !Double.isNaN(tableDemand)) {
            desired.forEach(
                    (id, weight) -> assigned.merge(id, tableDemand * weight / sum, Double::sum));
        }
    }

    /**
     * Shifts weight to larger nodes while there is spare capacity. Each node keeps spare capacity
     * proportional to the square root of its size, which minimizes waiting time; near full load the
     * shift vanishes.
     */
    private double favorLargeNodes(double size) {
        double bias = LARGE_NODE_BIAS * capacity.spareCapacityRatio();
        return Math.max(MIN_BIASED_RATIO * size, size - bias * Math.sqrt(size)) / (1 - bias);
    }
}
