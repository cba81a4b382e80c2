package rosespread.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ShardTable;

/**
 * Determines the nodes that a table may name at the current time. These nodes are the same for the
 * corresponding tables of all shards and are needed each time a proxy joins, so the lists are
 * cached until the node list changes or the round ends.
 */
final class EligibleNodes {
    private final NodeRegistry nodes;
    private final SlowStart slowStart;
    private final Map<Integer, List<Node>> byTable = new TreeMap<>();

    EligibleNodes(NodeRegistry nodes, SlowStart slowStart) {
        this.nodes = nodes;
        this.slowStart = slowStart;
    }

    /** Clears the cached lists; called when time has passed or the node list has changed. */
    void invalidate() {
        byTable.clear();
    }

    /** The nodes that the table may name, sorted by identity. */
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
