package rosespread.policy;

import java.util.stream.Stream;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ProxyShard;

/** Finds nodes that are no longer ready but still have a delivered entry in a table of a shard. */
final class DepartedNodes {
    private final NodeRegistry nodes;

    DepartedNodes(NodeRegistry nodes) {
        this.nodes = nodes;
    }

    /**
     * The nodes that are not ready but have a delivered entry in the shard's tables. A node occurs
     * once for each table that has such an entry.
     */
    Stream<Node> deliveredTo(ProxyShard shard) {
        return shard.tables().stream()
                .flatMap(table -> table.delivered().keySet().stream())
                .map(nodes::find)
                .filter(node -> !node.ready());
    }

    /**
     * Clock reading in nanoseconds at which the first of the nodes in {@link #deliveredTo} left;
     * {@code now} if there is no such node.
     */
    long earliestDeparture(ProxyShard shard, long now) {
        return deliveredTo(shard).mapToLong(Node::leftAt).min().orElse(now);
    }
}
