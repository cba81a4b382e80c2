package rosespread.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardTable;

/**
 * The nodes that a table may name now. They are the same for like tables of all shards and are
 * asked for as each proxy joins, so that they are kept until the list changes or the round ends.
 */
final class EligibleNodes {
    private final NodeRegistry nodes;
    private final SlowStart slowStart;
    private final Map<Integer, List<Node>> byTable = new TreeMap<>();

    EligibleNodes(NodeRegistry nodes, SlowStart slowStart) {
        this.nodes = nodes;
        this.slowStart = slowStart;
    }

    /** Drops what is kept, as time or the list has changed. */
    void invalidate() {
        byTable.clear();
    }

    /** The nodes that the table may name, in order. */
    List<Node> of(ShardTable table, long now) {
        return byTable.computeIfAbsent(
                table.index(),
                index ->
                        nodes.all().stream()
                                .filter(
                                        node ->
                                                slowStart.mayTakeLoad(node, now)
                                                        && table.allows(node))
                                .toList());
    }
}
