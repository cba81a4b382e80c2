package rosespread.platform;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import rosespread.api.EventHandler.NodeListKind;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;

/**
 * The nodes that discovery lists now, and the nodes that some controller may have excluded. Owned
 * by the event-loop thread.
 */
final class NodeDirectory {
    private final NodeNameRegistry names;
    private final Map<NodeId, NodeEntry> listed = new TreeMap<>();
    private final Set<NodeId> possiblyExcluded = new TreeSet<>();

    NodeDirectory(NodeNameRegistry names) {
        this.names = names;
    }

    /**
     * Applies a node list: an incremental list changes single entries, any other replaces them all.
     *
     * @return the list's entries by node, in the order of ids
     */
    Map<NodeId, NodeEntry> apply(NodeListKind kind, NodeList list) {
        Map<NodeId, NodeEntry> update = new TreeMap<>();
        list.nodes().forEach(entry -> update.put(names.register(entry.name()), entry));
        update.forEach(this::noteExclusion);
        if (kind != NodeListKind.INCREMENTAL) {
            removeAllBut(update.keySet());
        }
        update.forEach(this::store);
        return update;
    }

    private void noteExclusion(NodeId id, NodeEntry entry) {
        if (mayBeExcluded(entry, listed.get(id))) {
            possiblyExcluded.add(id);
        }
    }

    /**
     * Whether some controller may have excluded the node: it is leaving, or has restarted since it
     * was listed. A recent start alone does not count: a rollout starts nodes under new names, and
     * sending a needless readmission of each new node to each proxy would fill the channel.
     */
    private static boolean mayBeExcluded(NodeEntry entry, NodeEntry previous) {
        boolean leaving = entry.state() != NodeState.READY;
        boolean restarted = previous != null && previous.startedMillis() != entry.startedMillis();
        return leaving || restarted;
    }

    private void removeAllBut(Set<NodeId> kept) {
        listed.keySet().stream().filter(id -> !kept.contains(id)).forEach(possiblyExcluded::add);
        listed.clear();
    }

    private void store(NodeId id, NodeEntry entry) {
        if (entry.state() == NodeState.GONE) {
            listed.remove(id);
        } else {
            listed.put(id, entry);
        }
    }

    /** The entry of a node; null if the node is not listed now. */
    NodeEntry find(NodeId id) {
        return listed.get(id);
    }

    /** All nodes listed now, in the order of ids; a read-only view. */
    Map<NodeId, NodeEntry> listed() {
        return Collections.unmodifiableMap(listed);
    }

    void forEach(BiConsumer<NodeId, NodeEntry> action) {
        listed.forEach(action);
    }

    boolean isEmpty() {
        return listed.isEmpty();
    }

    int size() {
        return listed.size();
    }

    long draining() {
        return listed.values().stream()
                .filter(entry -> entry.state() == NodeState.DRAINING)
                .count();
    }

    /** Whether a proxy may join with this node excluded by another controller. */
    boolean possiblyExcluded(NodeId id) {
        return possiblyExcluded.contains(id);
    }
}
