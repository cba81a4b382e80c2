package rosespread.scenario;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.controller.TableUpdateWriter;

/** Sends wrong weights of changing kinds to all tables, each for 0.3 s, and then restores them. */
final class WrongWeights {
    private static final Logger LOG = LoggerFactory.getLogger(WrongWeights.class);
    private static final long FAULT_DURATION_NANOS = 300_000_000L;
    private static final long INVALID_WEIGHTS_PERIOD_NANOS = 700_000_000L;
    private static final int INVALID_WEIGHTS_FIRST_PERIOD = 6;
    private static final long CHANGES_PERIOD_NANOS = 2_000_000_000L;

    /** Later than the 10 s for which a node start justifies large changes. */
    private static final long CHANGES_FIRST_NANOS = 12_000_000_000L;

    /** A node that started within this time still warms up. */
    private static final long WARM_UP_NANOS = 8_000_000_000L;

    private static final NodeId UNKNOWN_NODE = new NodeId(99);
    private static final int INVALID_WEIGHT_KINDS = 8;
    private static final int CHANGE_KINDS = 2;

    private final Map<TableId, Map<NodeId, Double>> correctWeights = new TreeMap<>();
    private final boolean excessiveChanges;
    private final NodeObservations nodes;
    private final long periodNanos;
    private final long firstNanos;
    private long lastPeriod = -1;
    private boolean wrong;

    /**
     * @param excessiveChanges true for changes that are too large or too many, false for invalid
     *     weights
     */
    WrongWeights(boolean excessiveChanges, NodeObservations nodes) {
        this.excessiveChanges = excessiveChanges;
        this.nodes = nodes;
        this.periodNanos = excessiveChanges ? CHANGES_PERIOD_NANOS : INVALID_WEIGHTS_PERIOD_NANOS;
        this.firstNanos =
                excessiveChanges
                        ? CHANGES_FIRST_NANOS
                        : INVALID_WEIGHTS_FIRST_PERIOD * INVALID_WEIGHTS_PERIOD_NANOS;
    }

    void recordCorrect(TableId table, NodeId node, double weight) {
        correctWeights.computeIfAbsent(table, id -> new TreeMap<>()).put(node, weight);
    }

    /**
     * Sends or restores weights if that is due; {@code now} is in nanoseconds since the first
     * round.
     */
    void update(long now, Map<TableId, Set<NodeId>> nodesByTable, TableUpdateWriter out) {
        long period = now / periodNanos;
        if (now > firstNanos && period != lastPeriod) {
            lastPeriod = period;
            wrong = true;
            int kind =
                    excessiveChanges
                            ? INVALID_WEIGHT_KINDS + (int) (period % CHANGE_KINDS)
                            : (int) (period % INVALID_WEIGHT_KINDS);
            nodesByTable.forEach((table, members) -> send(kind, now, table, members, out));
            LOG.atInfo().addKeyValue("kind", kind).log("wrong weights sent");
        } else if (wrong && now % periodNanos > FAULT_DURATION_NANOS) {
            wrong = false;
            correctWeights.forEach((table, weights) -> restore(table, weights, out));
        }
    }

    private static void restore(TableId table, Map<NodeId, Double> weights, TableUpdateWriter out) {
        out.setWeight(table, UNKNOWN_NODE, 0);
        weights.forEach((node, weight) -> out.setWeight(table, node, weight));
    }

    private void send(
            int kind, long now, TableId table, Set<NodeId> members, TableUpdateWriter out) {
        NodeId firstNode = members.iterator().next();
        switch (kind) {
            case 0 -> out.setWeight(table, firstNode, Double.NaN);
            case 1 -> out.setWeight(table, firstNode, Double.POSITIVE_INFINITY);
            case 2 -> out.setWeight(table, UNKNOWN_NODE, 1);
            case 3 -> members.forEach(node -> out.setWeight(table, node, 0));
            case 4 -> out.setWeight(table, firstNode, -3);
            case 5 -> {
                out.setWeight(table, firstNode, 1e6);
                out.setWeight(table, UNKNOWN_NODE, 1e6);
            }
            case 6 -> nodes.firstDraining().ifPresent(node -> out.setWeight(table, node, 1));
            case 7 ->
                    nodes.firstStartedWithin(WARM_UP_NANOS, now)
                            .ifPresent(node -> out.setWeight(table, node, 50));
            case 8 -> moveNearlyAllWeightToOneNode(table, out);
            default -> changeAllSlightly(table, out);
        }
    }

    /** Gives nearly all weight to one node by a change of one entry. */
    private void moveNearlyAllWeightToOneNode(TableId table, TableUpdateWriter out) {
        correctWeights.get(table).entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .findFirst()
                .ifPresent(entry -> out.setWeight(table, entry.getKey(), 500 * entry.getValue()));
    }

    /** Changes all entries at once, each by 0.01 %. */
    private void changeAllSlightly(TableId table, TableUpdateWriter out) {
        correctWeights
                .get(table)
                .forEach((node, weight) -> out.setWeight(table, node, weight * 1.0001));
    }
}
