package rosespread.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Determines how much of a table's demand its nodes can take while some of them are warming up.
 * Weights only divide the demand among the nodes of a table: if the few nodes that a restricted
 * table has are warming up, any weights overload them, so the table's own demand must be limited or
 * wait. A table and its counterparts in other shards count as one. The tables that may name the
 * most nodes are left to the limits of the whole fleet.
 */
final class ColdTableLimiter {
    /**
     * Ratio of a table's demand to the present capacity of its nodes above which the demand is
     * limited. The estimates of both are uncertain, and a cold node may fail at a ratio of three.
     */
    private static final double MAX_LOAD_RATIO = 2;

    /** Ratio of demand to capacity that is admitted while the demand is limited. */
    private static final double LIMITED_LOAD_RATIO = 1.2;

    private final NodeRegistry nodes;
    private final ShardRegistry shards;
    private final EligibleNodes eligible;
    private final SlowStart slowStart;
    private final CapacityUnits units;
    private final DemandEstimator demands;

    /** The admitted shares of limited tables, less than 1, by the index of the table. */
    private final Map<Integer, Double> shares = new TreeMap<>();

    ColdTableLimiter(
            NodeRegistry nodes,
            ShardRegistry shards,
            EligibleNodes eligible,
            SlowStart slowStart,
            CapacityUnits units,
            DemandEstimator demands) {
        this.nodes = nodes;
        this.shards = shards;
        this.eligible = eligible;
        this.slowStart = slowStart;
        this.units = units;
        this.demands = demands;
    }

    /** The share of the table's demand to admit, 1 if its nodes need no limit. */
    double admittedShare(ShardTable table) {
        return shares.getOrDefault(table.index(), 1.0);
    }

    /**
     * Whether the demand of the table would overload the nodes that it may name if it were not
     * limited. False if none of them is warming up, or if one of them is warm.
     */
    boolean overloadsColdNodes(ShardTable table, long now) {
        List<Node> allowed = eligible.of(table, now);
        return allowed.stream().allMatch(node -> slowStart.warmingUp(node, now))
                && loadRatio(allowed, counterparts(table), now) > MAX_LOAD_RATIO;
    }

    /**
     * Updates the shares of all tables.
     *
     * @return the tables whose limit starts, ends or becomes stricter
     */
    List<ShardTable> update(long now) {
        if (shares.isEmpty()
                && nodes.ready().stream().noneMatch(n -> slowStart.warmingUp(n, now))) {
            return List.of();
        }
        List<ShardTable> changed = new ArrayList<>();
        int mostNodes =
                shards.firstTables().stream()
                        .mapToInt(table -> eligible.of(table, now).size())
                        .max()
                        .orElse(0);
        for (ShardTable first : shards.firstTables()) {
            List<ShardTable> tables = counterparts(first);
            boolean restricted = eligible.of(first, now).size() < mostNodes;
            if (updateShare(first.index(), restricted ? loadRatio(tables, now) : 0)) {
                changed.addAll(tables);
            }
        }
        return changed;
    }

    private List<ShardTable> counterparts(ShardTable table) {
        return shards.tables().stream().filter(t -> t.isCounterpartOf(table)).toList();
    }

    private boolean updateShare(int index, double loadRatio) {
        double previous = shares.getOrDefault(index, 1.0);
        double maxLoadRatio = previous < 1 ? LIMITED_LOAD_RATIO : MAX_LOAD_RATIO;
        if (loadRatio <= maxLoadRatio) {
            return shares.remove(index) != null;
        }
        double share = LIMITED_LOAD_RATIO / loadRatio;
        shares.put(index, share);
        return share < previous;
    }

    /**
     * The higher of two load ratios: that of the nodes with a committed entry, and that of those
     * among them with a delivered one, as other entries may wait for the channel.
     */
    private double loadRatio(List<ShardTable> tables, long now) {
        List<Node> committed =
                eligible.of(tables.get(0), now).stream()
                        .filter(n -> tables.get(0).committed().containsKey(n.id()))
                        .toList();
        List<Node> delivered =
                committed.stream()
                        .filter(n -> tables.stream().anyMatch(table -> table.holds(n.id())))
                        .toList();
        return Math.max(loadRatio(committed, tables, now), loadRatio(delivered, tables, now));
    }

    /**
     * Ratio of the demand of the tables to the present capacity of the nodes; 0 if no node is
     * warming up or while the capacity unit is unknown.
     */
    private double loadRatio(Collection<Node> serving, List<ShardTable> tables, long now) {
        if (!units.known() || serving.stream().noneMatch(n -> slowStart.warmingUp(n, now))) {
            return 0;
        }
        double demand = tables.stream().mapToDouble(table -> demands.demand(table, now)).sum();
        double capacity =
                serving.stream()
                        .mapToDouble(node -> node.capacity() * slowStart.warmUpRatio(node, now))
                        .sum();
        return demand / (units.unit() * capacity);
    }
}
