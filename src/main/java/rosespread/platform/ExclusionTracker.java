package rosespread.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * Determines the exclusions and readmissions of nodes to send to each proxy. Owned by the
 * event-loop thread.
 */
final class ExclusionTracker {
    private final Predicate<NodeId> possiblyExcluded;
    private final Function<TableId, WeightTable> tables;
    private final Set<NodeId> excluded = new TreeSet<>();

    /** The current round's exclusions (true) and readmissions (false), in the order made. */
    private final Map<NodeId, Boolean> changes = new LinkedHashMap<>();

    /**
     * Creates a tracker without exclusions.
     *
     * @param possiblyExcluded whether a node ever left or restarted, so that another controller may
     *     have excluded it
     * @param tables looks up a table by its id
     */
    ExclusionTracker(Predicate<NodeId> possiblyExcluded, Function<TableId, WeightTable> tables) {
        this.possiblyExcluded = possiblyExcluded;
        this.tables = tables;
    }

    /** Excludes a node from all proxies, or readmits it. */
    void set(NodeId node, boolean exclude) {
        changes.put(node, exclude);
        if (exclude) {
            excluded.add(node);
        } else {
            excluded.remove(node);
        }
    }

    /** The number of nodes excluded now. */
    int size() {
        return excluded.size();
    }

    /** Ends the round: clears its changes. */
    void clearChanges() {
        changes.clear();
    }

    /** Returns the part to send to a proxy in this round and records it as sent; empty if none. */
    Optional<UpdatePart> takeUpdate(ProxyView view) {
        List<NodeId> toExclude = new ArrayList<>();
        List<NodeId> toReadmit = new ArrayList<>();
        changes.forEach((node, exclude) -> addChange(view, node, exclude, toExclude, toReadmit));
        view.tables().forEach(table -> addReadmissions(view, table, toReadmit));
        if (toExclude.isEmpty() && toReadmit.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(UpdatePart.ofExclusions(List.copyOf(toExclude), List.copyOf(toReadmit)));
    }

    /**
     * Adds a change if the proxy needs it. An exclusion is sent to proxies whose tables contain the
     * node, and to proxies that follow no table yet, as these proxies may still hold a table with
     * the node. A readmission is sent to proxies that were sent the exclusion.
     */
    private void addChange(
            ProxyView view,
            NodeId node,
            boolean exclude,
            List<NodeId> toExclude,
            List<NodeId> toReadmit) {
        if (exclude) {
            if (mayHold(view, node) && view.exclude(node)) {
                toExclude.add(node);
            }
        } else if (view.hasExcluded(node)) {
            toReadmit.add(node);
            view.readmit(node);
        }
    }

    private boolean mayHold(ProxyView view, NodeId node) {
        return !view.isSubscribed()
                || view.tables().stream().anyMatch(table -> tables.apply(table).contains(node));
    }

    /**
     * Readmits each node in the table's update that may still be excluded at the proxy, by this
     * controller or by another one. Other controllers exclude only nodes that leave or restart.
     */
    private void addReadmissions(ProxyView view, TableId id, List<NodeId> toReadmit) {
        WeightTable table = tables.apply(id);
        for (NodeId node : table.nodesOfUpdate(view.needsFull(id))) {
            boolean mayBeExcluded =
                    view.hasExcluded(node)
                            || possiblyExcluded.test(node) && !view.hasReadmitted(node);
            if (table.contains(node) && mayBeExcluded && !excluded.contains(node)) {
                toReadmit.add(node);
                view.readmit(node);
            }
        }
    }
}
