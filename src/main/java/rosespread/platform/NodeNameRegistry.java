package rosespread.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import rosespread.api.NodeId;

/**
 * Maps the platform's names of nodes to the policy's ids, numbered in the order in which they were
 * first listed. A name keeps its id for good. Owned by the event-loop thread.
 */
final class NodeNameRegistry {
    private final Map<String, NodeId> ids = new HashMap<>();
    private final Map<NodeId, String> names = new HashMap<>();
    private long lastId;

    /** The id of a name; a new one if it was never listed. */
    NodeId register(String name) {
        return ids.computeIfAbsent(name, this::assign);
    }

    private NodeId assign(String name) {
        NodeId id = new NodeId(++lastId);
        names.put(id, name);
        return id;
    }

    /** The id of a name, empty if it was never listed. */
    Optional<NodeId> find(String name) {
        return Optional.ofNullable(ids.get(name));
    }

    /**
     * The name of an id.
     *
     * @throws IllegalStateException if it has none: an update that names it would cost the stream
     */
    String nameOf(NodeId id) {
        String name = names.get(id);
        if (name == null) {
            throw new IllegalStateException("no node " + id.value() + " was ever listed");
        }
        return name;
    }
}
