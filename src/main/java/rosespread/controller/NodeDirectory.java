package rosespread.controller;

import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import rosespread.api.NodeId;
import rosespread.discovery.ListedNode;

/**
 * The nodes in three views: as discovery listed them last, the same with the drains that operators
 * ordered, and all that are known, which also has unlisted nodes that tables still name.
 *
 * <p>Owned by the event-loop thread.
 */
final class NodeDirectory {
    private final TreeMap<NodeId, ListedNode> discovered = new TreeMap<>();
    private final TreeMap<NodeId, ListedNode> listed = new TreeMap<>();
    private final TreeMap<NodeId, ListedNode> known = new TreeMap<>();
    private final Map<NodeId, ListedNode> knownView = Collections.unmodifiableMap(known);
    private final TreeMap<NodeId, Long> lastAttempts = new TreeMap<>();
    private boolean listReceived;

    /** Takes a complete list from discovery; returns the ids of the one before. */
    Set<NodeId> replaceDiscovered(List<ListedNode> nodes) {
        listReceived = true;
        Set<NodeId> before = Set.copyOf(discovered.keySet());
        discovered.clear();
        nodes.forEach(node -> discovered.put(node.id(), node));
        return before;
    }

    /** Whether discovery has brought a list yet. */
    boolean isListReceived() {
        return listReceived;
    }

    boolean isDiscovered(NodeId id) {
        return discovered.containsKey(id);
    }

    /** Returns a live view of the nodes as discovery listed them, without operators' drains. */
    Collection<ListedNode> discovered() {
        return Collections.unmodifiableCollection(discovered.values());
    }

    /**
     * Works out the listed nodes from the discovered ones and the drains in force.
     *
     * @return whether a node came, went, started again or changed its state
     */
    boolean refreshListed(Predicate<NodeId> drained) {
        Map<NodeId, ListedNode> next = new TreeMap<>();
        discovered.forEach((id, node) -> next.put(id, drained.test(id) ? node.draining() : node));
        boolean changed = next.size() != listed.size();
        for (ListedNode node : next.values()) {
            changed |= !isSame(listed.get(node.id()), node);
        }
        listed.clear();
        listed.putAll(next);
        known.putAll(listed);
        return changed;
    }

    private static boolean isSame(ListedNode before, ListedNode after) {
        return before != null
                && before.state() == after.state()
                && before.startedMillis() == after.startedMillis();
    }

    /** Forgets unlisted nodes that nothing names any more. */
    void forgetUnlisted(Predicate<NodeId> stillNamed) {
        known.keySet().removeIf(id -> !listed.containsKey(id) && !stillNamed.test(id));
        lastAttempts.keySet().retainAll(known.keySet());
    }

    /** Returns the node as it is listed, null if it is not. */
    ListedNode listed(NodeId id) {
        return listed.get(id);
    }

    /** Returns a live view of the listed nodes, drains of operators included. */
    Collection<ListedNode> listed() {
        return Collections.unmodifiableCollection(listed.values());
    }

    /** Returns the name of a known node, the number of any other. */
    String nameOf(NodeId id) {
        ListedNode node = known.get(id);
        return node == null ? Long.toString(id.value()) : node.name();
    }

    /** Returns a live view of all known nodes. */
    Map<NodeId, ListedNode> known() {
        return knownView;
    }

    /** A proxy reported an attempt at a node. */
    void recordAttempt(NodeId id, long nowNanos) {
        lastAttempts.put(id, nowNanos);
    }

    /** Returns when an attempt at a node was last reported, empty if none was. */
    Optional<Long> lastAttemptNanos(NodeId id) {
        return Optional.ofNullable(lastAttempts.get(id));
    }
}
