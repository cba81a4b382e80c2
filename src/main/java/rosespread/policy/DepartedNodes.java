package rosespread.policy;

import java.util.stream.Stream;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.ProxyShard;

/** Finds nodes that are no longer ready but that the followers of a shard still hold. */
final class DepartedNodes {
    private final NodeRegistry nodes;

    DepartedNodes(NodeRegistry nodes) {
        this.nodes = nodes;
    }

    /** The nodes of the shard's delivered entries that are not ready, once for each table. */
    Stream<Node> deliveredTo(ProxyShard shard) {
        return shard.tables().stream()
                .flatMap(table -> table.delivered().keySet().stream())
                .map(nodes::find)
                .filter(node -> !node.ready());
    }

    /** When the first of these nodes left, {@code now} if there is none. */
    long earliestDeparture(ProxyShard shard, long now) {
        return deliveredTo(shard).mapToLong(Node::leftAt).min().orElse(now);
    }
}
