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
 * The state of one proxy's stream: the tables that the proxy follows, the tables of which it needs
 * a full update, and the nodes excluded on the stream. Owned by the event-loop thread.
 */
final class ProxyView {
    private final Map<TableId, List<MethodId>> subscriptions = new TreeMap<>();
    private final Set<TableId> pendingFull = new TreeSet<>();
    private final Set<NodeId> excluded = new TreeSet<>();

    /** Nodes known not to be excluded at the proxy, by this or any other controller. */
    private final Set<NodeId> readmitted = new TreeSet<>();

    /** Subscribes the methods to a table instead of any other; a full update becomes due. */
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

    /** The tables that the proxy follows, in the order of ids. */
    Set<TableId> tables() {
        return subscriptions.keySet();
    }

    void forEachSubscription(BiConsumer<TableId, List<MethodId>> action) {
        subscriptions.forEach(action);
    }

    boolean needsFull(TableId table) {
        return pendingFull.contains(table);
    }

    /** Ends the round: all full updates that were due have been sent. */
    void clearPendingFull() {
        pendingFull.clear();
    }

    /** Records a node's exclusion; returns false if the exclusion was sent already. */
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
