package rosespread.policy.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;

/**
 * All nodes ever listed, sorted by identity. Both maps hold the same nodes: the sorted map fixes
 * the order in which sums are computed, the hash map is for lookups, of which each round does many.
 */
public final class NodeRegistry {
    private final TreeMap<NodeId, Node> sorted = new TreeMap<>();
    private final Map<NodeId, Node> byId = new HashMap<>();

    /** Adds a node that was not listed before. */
    public void add(Node node) {
        sorted.put(node.id(), node);
        byId.put(node.id(), node);
    }

    /** The node, null if it was never listed. */
    public Node find(NodeId id) {
        return byId.get(id);
    }

    /** All nodes, including gone ones, in order. */
    public Collection<Node> all() {
        return sorted.values();
    }

    /** The nodes that are ready, in order. */
    public List<Node> ready() {
        return sorted.values().stream().filter(Node::ready).toList();
    }
}
