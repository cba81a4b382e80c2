package rosespread.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * What was sent on one proxy's stream so far: the tables that it follows, those of which it needs a
 * full update, and which nodes were excluded on it. Owned by the event-loop thread.
 */
final class ProxyView {
    private final Map<TableId, List<MethodId>> subscriptions = new TreeMap<>();
    private final Set<TableId> pendingFull = new TreeSet<>();
    private final Set<NodeId> excluded = new TreeSet<>();

    /** Nodes that surely are not excluded at the proxy, whoever excluded them before. */
    private final Set<NodeId> readmitted = new TreeSet<>();

    /** Subscribes the methods to a table, and no longer to any other; a full update is due. */
    void subscribe(TableId table, Iterable<MethodId> methods) {
        List<MethodId> moved = new ArrayList<>();
        methods.forEach(moved::add);
        subscriptions.replaceAll((other, current) -> without(current, moved));
        subscriptions.values().removeIf(List::isEmpty);
        subscriptions.put(table, List.copyOf(moved));
        pendingFull.add(table);
    }

    private static List<MethodId> without(List<MethodId> methods, List<MethodId> moved) {
        return methods.stream().filter(method -> !moved.contains(method)).toList();
    }

    boolean isSubscribed() {
        return !subscriptions.isEmpty();
    }

    /** The tables that it follows, in the order of ids. */
    Set<TableId> tables() {
        return subscriptions.keySet();
    }

    void forEachSubscription(BiConsumer<TableId, List<MethodId>> action) {
        subscriptions.forEach(action);
    }

    boolean needsFull(TableId table) {
        return pendingFull.contains(table);
    }

    /** Ends the round: what was due was written. */
    void clearPendingFull() {
        pendingFull.clear();
    }

    /** Notes that a node is excluded; false if the exclusion was sent already. */
    boolean exclude(NodeId node) {
        boolean first = excluded.add(node);
        if (first) {
            readmitted.remove(node);
        }
        return first;
    }

    void readmit(NodeId node) {
        excluded.remove(node);
        readmitted.add(node);
    }

    boolean hasExcluded(NodeId node) {
        return excluded.contains(node);
    }

    boolean hasReadmitted(NodeId node) {
        return readmitted.contains(node);
    }
}
