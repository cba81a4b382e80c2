package rosespread.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import rosespread.api.NodeId;

/**
 * Maps the platform's node names to the policy's node ids, numbered in the order in which the names
 * were first listed. A name never changes its id. Owned by the event-loop thread.
 */
final class NodeNameRegistry {
    private final Map<String, NodeId> ids = new HashMap<>();
    private final Map<NodeId, String> names = new HashMap<>();
    private long lastId;

    /** Returns the id of a name; assigns a new id if the name was never listed. */
    NodeId register(String name) {
        return ids.computeIfAbsent(name, this::assign);
    }

    private NodeId assign(String name) {
        NodeId id = new NodeId(++lastId);
        names.put(id, name);
        return id;
    }

    /** The id of a name; empty if the name was never listed. */
    Optional<NodeId> find(String name) {
        return Optional.ofNullable(ids.get(name));
    }

    /**
     * The name of an id.
     *
     * @throws IllegalStateException if no name has this id; an update that named such a node would
     *     end the stream
     */
    String nameOf(NodeId id) {
        String name = names.get(id);
        if (name == null) {
            throw new IllegalStateException("node id " + id.value() + " was never listed");
        }
        return name;
    }
}
