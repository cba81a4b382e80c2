package rosespread.scenario;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.controller.TableUpdateWriter;

/**
 * Again and again for 0.3 s another kind of wrong weights in all tables, then the right ones again.
 */
final class WrongWeights {
    private static final Logger LOG = LoggerFactory.getLogger(WrongWeights.class);
    private static final long LASTS_NANOS = 300_000_000L;
    private static final long TABLES_PERIOD_NANOS = 700_000_000L;
    private static final int TABLES_FIRST_TURN = 6;
    private static final long MOVES_PERIOD_NANOS = 2_000_000_000L;

    /** A start is cause for large moves for 10 s. */
    private static final long MOVES_FIRST_NANOS = 12_000_000_000L;

    /** A start so long ago leaves a node cold. */
    private static final long WARM_UP_NANOS = 8_000_000_000L;

    private static final NodeId UNKNOWN_NODE = new NodeId(99);
    private static final int TABLE_KINDS = 8;
    private static final int MOVE_KINDS = 2;

    private final Map<TableId, Map<NodeId, Double>> rightWeights = new TreeMap<>();
    private final boolean moves;
    private final NodeObservations nodes;
    private final long periodNanos;
    private final long firstNanos;
    private long lastTurn = -1;
    private boolean wrong;

    /**
     * @param moves whether to make moves that are too large, else tables that are wrong
     */
    WrongWeights(boolean moves, NodeObservations nodes) {
        this.moves = moves;
        this.nodes = nodes;
        this.periodNanos = moves ? MOVES_PERIOD_NANOS : TABLES_PERIOD_NANOS;
        this.firstNanos = moves ? MOVES_FIRST_NANOS : TABLES_FIRST_TURN * TABLES_PERIOD_NANOS;
    }

    void noteRight(TableId table, NodeId node, double weight) {
        rightWeights.computeIfAbsent(table, id -> new TreeMap<>()).put(node, weight);
    }

    /** Begins or ends wrong weights if it is time; {@code now} since the first round. */
    void play(long now, Map<TableId, Set<NodeId>> nodesByTable, TableUpdateWriter out) {
        long turn = now / periodNanos;
        if (now > firstNanos && turn != lastTurn) {
            lastTurn = turn;
            wrong = true;
            int kind = moves ? TABLE_KINDS + (int) (turn % MOVE_KINDS) : (int) (turn % TABLE_KINDS);
            nodesByTable.forEach((table, members) -> send(kind, now, table, members, out));
            LOG.atInfo().addKeyValue("kind", kind).log("wrong weights sent");
        } else if (wrong && now % periodNanos > LASTS_NANOS) {
            wrong = false;
            rightWeights.forEach((table, weights) -> restore(table, weights, out));
        }
    }

    private static void restore(TableId table, Map<NodeId, Double> weights, TableUpdateWriter out) {
        out.setWeight(table, UNKNOWN_NODE, 0);
        weights.forEach((node, weight) -> out.setWeight(table, node, weight));
    }

    private void send(
            int kind, long now, TableId table, Set<NodeId> members, TableUpdateWriter out) {
        NodeId some = members.iterator().next();
        switch (kind) {
            case 0 -> out.setWeight(table, some, Double.NaN);
            case 1 -> out.setWeight(table, some, Double.POSITIVE_INFINITY);
            case 2 -> out.setWeight(table, UNKNOWN_NODE, 1);
            case 3 -> members.forEach(node -> out.setWeight(table, node, 0));
            case 4 -> out.setWeight(table, some, -3);
            case 5 -> {
                out.setWeight(table, some, 1e6);
                out.setWeight(table, UNKNOWN_NODE, 1e6);
            }
            case 6 -> nodes.firstDraining().ifPresent(node -> out.setWeight(table, node, 1));
            case 7 ->
                    nodes.firstStartedWithin(WARM_UP_NANOS, now)
                            .ifPresent(node -> out.setWeight(table, node, 50));
            case 8 -> moveNearlyAllToOne(table, out);
            default -> changeAllSlightly(table, out);
        }
    }

    /** Nearly all weight to one node, by a change of one entry. */
    private void moveNearlyAllToOne(TableId table, TableUpdateWriter out) {
        rightWeights.get(table).entrySet().stream()
                .filter(entry -> entry.getValue() > 0)
                .findFirst()
                .ifPresent(entry -> out.setWeight(table, entry.getKey(), 500 * entry.getValue()));
    }

    /** All entries at once, each by next to nothing. */
    private void changeAllSlightly(TableId table, TableUpdateWriter out) {
        rightWeights
                .get(table)
                .forEach((node, weight) -> out.setWeight(table, node, weight * 1.0001));
    }
}
