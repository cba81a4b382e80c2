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
 * Three views of the nodes: the nodes as discovery listed them last, the same nodes with operators'
 * drains applied, and all known nodes, which also include unlisted nodes that tables still name.
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

    /** Replaces the discovered nodes by a complete list; returns the ids of the previous list. */
    Set<NodeId> replaceDiscovered(List<ListedNode> nodes) {
        listReceived = true;
        Set<NodeId> before = Set.copyOf(discovered.keySet());
        discovered.clear();
        nodes.forEach(node -> discovered.put(node.id(), node));
        return before;
    }

    /** Whether a list has been received from discovery. */
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
     * Computes the listed nodes from the discovered nodes and the drains in force.
     *
     * @return whether a node was added or removed, restarted or changed its state
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

    /** Removes unlisted nodes that are no longer referenced. */
    void removeUnlisted(Predicate<NodeId> isReferenced) {
        known.keySet().removeIf(id -> !listed.containsKey(id) && !isReferenced.test(id));
        lastAttempts.keySet().retainAll(known.keySet());
    }

    /** Returns a listed node, with operators' drains applied; null if it is not listed. */
    ListedNode listed(NodeId id) {
        return listed.get(id);
    }

    /** Returns a live view of the listed nodes, with operators' drains applied. */
    Collection<ListedNode> listed() {
        return Collections.unmodifiableCollection(listed.values());
    }

    /** Returns the name of a known node, or the decimal id of any other. */
    String nameOf(NodeId id) {
        ListedNode node = known.get(id);
        return node == null ? Long.toString(id.value()) : node.name();
    }

    /** Returns a live view of all known nodes. */
    Map<NodeId, ListedNode> known() {
        return knownView;
    }

    /** Records the time at which a proxy reported an attempt at a node. */
    void recordAttempt(NodeId id, long nowNanos) {
        lastAttempts.put(id, nowNanos);
    }

    /** Returns when an attempt at a node was last reported, empty if none was. */
    Optional<Long> lastAttemptNanos(NodeId id) {
        return Optional.ofNullable(lastAttempts.get(id));
    }
}
