package rosespread.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import rosespread.api.NodeId;

/**
 * The platform's names of nodes and the module's ids of them, in the order in which they were first
 * heard. Used from the decision thread only.
 */
final class NodeNameRegistry {
    private final Map<String, NodeId> ids = new HashMap<>();
    private final Map<NodeId, String> names = new HashMap<>();
    private long last;

    NodeId register(String name) {
        return ids.computeIfAbsent(
                name,
                fresh -> {
                    NodeId id = new NodeId(++last);
                    names.put(id, fresh);
                    return id;
                });
    }

    Optional<NodeId> find(String name) {
        return Optional.ofNullable(ids.get(name));
    }

    /**
     * @throws IllegalStateException if no list ever named it: such an order would cost the stream
     */
    String nameOf(NodeId id) {
        String name = names.get(id);
        if (name == null) {
            throw new IllegalStateException("no node " + id.value() + " was ever listed");
        }
        return name;
    }

    int size() {
        return ids.size();
    }
}
