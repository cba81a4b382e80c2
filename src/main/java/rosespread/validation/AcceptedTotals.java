package rosespread.validation;

import java.util.Collections;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.NodeFact;
import rosespread.validation.TableChangeValidator.ValidationContext;

/**
 * Totals over the entries of one table that were accepted as a whole, so that a change of a few
 * entries is validated at the cost of the change. They hold for one version of the node facts: the
 * validator computes them again whenever {@link ValidationContext#factsVersion} differs.
 *
 * <p>Not thread-safe: owned by the thread that validates the table. {@link TableChangeValidator}
 * alone reads and updates the totals; callers only {@link #invalidate} them.
 */
public final class AcceptedTotals {
    private boolean known;
    private long factsVersion;
    private double sum;
    private double warmSum;
    private int warm;
    private int eligible;
    private final TreeSet<NodeId> cold = new TreeSet<>();
    private int changes;

    /**
     * Drops the totals. To be called when entries were changed without the validator, for example
     * by a rollback; the next validation then looks at the whole table.
     */
    public void invalidate() {
        known = false;
    }

    /** Whether the totals stand for the entries now in force. */
    boolean isKnown() {
        return known;
    }

    /** The version of the node facts that the totals were computed by. */
    long factsVersion() {
        return factsVersion;
    }

    /** The sum of all weights. */
    double sum() {
        return sum;
    }

    /** The mean weight of warm eligible nodes, infinite if there is none. */
    double warmMean() {
        // Without a warm node there is nothing to compare with: a whole site has come back cold.
        return warm == 0 ? Double.POSITIVE_INFINITY : warmSum / warm;
    }

    /** The number of entries with a positive weight whose nodes are eligible. */
    int eligible() {
        return eligible;
    }

    /** Eligible nodes with a positive weight that are still warming up. */
    SortedSet<NodeId> cold() {
        return Collections.unmodifiableSortedSet(cold);
    }

    /** Changes applied since the totals were last computed from all entries. */
    int changes() {
        return changes;
    }

    /** Computes the totals from all entries of a table that was just accepted. */
    void compute(Map<NodeId, Double> entries, ValidationContext context) {
        sum = 0;
        warmSum = 0;
        warm = 0;
        eligible = 0;
        changes = 0;
        cold.clear();
        entries.forEach((node, weight) -> add(node, weight, context.nodes().get(node)));
        factsVersion = context.factsVersion();
        known = true;
    }

    /**
     * Applies an accepted change.
     *
     * @param current entries before the change
     * @param changed new weights, 0 for a removed entry
     */
    void apply(
            Map<NodeId, Double> current, Map<NodeId, Double> changed, ValidationContext context) {
        changed.forEach(
                (node, weight) -> {
                    NodeFact fact = context.nodes().get(node);
                    Double old = current.get(node);
                    if (old != null) {
                        remove(node, old, fact);
                    }
                    if (weight != 0) {
                        add(node, weight, fact);
                    }
                });
        changes++;
    }

    /** The totals as they would be after a change; these stay as they are. */
    AcceptedTotals after(
            Map<NodeId, Double> current, Map<NodeId, Double> changed, ValidationContext context) {
        AcceptedTotals next = new AcceptedTotals();
        next.sum = sum;
        next.warmSum = warmSum;
        next.warm = warm;
        next.eligible = eligible;
        next.cold.addAll(cold);
        next.apply(current, changed, context);
        return next;
    }

    private void add(NodeId node, double weight, NodeFact fact) {
        sum += weight;
        if (fact == null || !fact.eligible() || !(weight > 0)) {
            return;
        }
        eligible++;
        if (fact.warmth() >= 1) {
            warm++;
            warmSum += weight;
        } else {
            cold.add(node);
        }
    }

    private void remove(NodeId node, double weight, NodeFact fact) {
        sum -= weight;
        cold.remove(node);
        if (fact == null || !fact.eligible() || !(weight > 0)) {
            return;
        }
        eligible--;
        if (fact.warmth() >= 1) {
            warm--;
            warmSum -= weight;
        }
    }
}
