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
 * Decides which exclusions and readmissions of nodes each proxy needs. Owned by the event-loop
 * thread.
 */
final class ExclusionTracker {
    private final Predicate<NodeId> possiblyExcluded;
    private final Function<TableId, WeightTable> tables;
    private final Set<NodeId> excluded = new TreeSet<>();

    /** The running round's exclusions (true) and readmissions (false), in the order made. */
    private final Map<NodeId, Boolean> changes = new LinkedHashMap<>();

    /**
     * Starts with no exclusion.
     *
     * @param possiblyExcluded whether a node ever left or restarted, so that another controller may
     *     have excluded it
     * @param tables finds a table by its id
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

    /** How many nodes are excluded now. */
    int size() {
        return excluded.size();
    }

    /** Ends the round. */
    void clearChanges() {
        changes.clear();
    }

    /** What a proxy needs in this round, which is noted as sent; empty if nothing. */
    Optional<UpdatePart> takeUpdate(ProxyView view) {
        List<NodeId> out = new ArrayList<>();
        List<NodeId> back = new ArrayList<>();
        changes.forEach((node, exclude) -> addChange(view, node, exclude, out, back));
        view.tables().forEach(table -> addReadmissions(view, table, back));
        if (out.isEmpty() && back.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(UpdatePart.ofExclusions(List.copyOf(out), List.copyOf(back)));
    }

    /**
     * An exclusion concerns proxies whose tables name the node, and each that follows no table yet,
     * as it may hold the node; a readmission concerns those that were sent the exclusion.
     */
    private void addChange(
            ProxyView view, NodeId node, boolean exclude, List<NodeId> out, List<NodeId> back) {
        if (exclude) {
            if (mayHold(view, node) && view.exclude(node)) {
                out.add(node);
            }
        } else if (view.hasExcluded(node)) {
            back.add(node);
            view.readmit(node);
        }
    }

    private boolean mayHold(ProxyView view, NodeId node) {
        return !view.isSubscribed()
                || view.tables().stream().anyMatch(table -> tables.apply(table).contains(node));
    }

    /**
     * A node that the update names is readmitted if the proxy may hold it as excluded: by us, or by
     * another controller, which excludes only nodes that leave or restart.
     */
    private void addReadmissions(ProxyView view, TableId id, List<NodeId> back) {
        WeightTable table = tables.apply(id);
        for (NodeId node : table.nodesOfUpdate(view.needsFull(id))) {
            boolean mayBeExcluded =
                    view.hasExcluded(node)
                            || possiblyExcluded.test(node) && !view.hasReadmitted(node);
            if (table.contains(node) && mayBeExcluded && !excluded.contains(node)) {
                back.add(node);
                view.readmit(node);
            }
        }
    }
}
