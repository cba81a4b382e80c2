package rosespread.validation;

import java.util.Collections;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.NodeFact;
import rosespread.validation.TableChangeValidator.ValidationContext;

/**
 * Sums of weights, counts of nodes and the set of nodes that are warming up, over all accepted
 * entries of one table. With these totals, the cost of validating a change depends on the size of
 * the change and not of the table. The totals apply to one version of the node facts: the validator
 * computes them again whenever {@link ValidationContext#factsVersion} differs.
 *
 * <p>Not thread-safe: owned by the thread that validates the table. {@link TableChangeValidator}
 * alone reads and updates the totals; callers only {@link #invalidate} them.
 */
public final class AcceptedTotals {
    private boolean valid;
    private long factsVersion;
    private double weightSum;
    private double warmWeightSum;
    private int warmNodes;
    private int eligibleNodes;
    private final TreeSet<NodeId> coldNodes = new TreeSet<>();
    private int changesSinceComputed;

    /**
     * Marks these totals as out of date, so that the next validation checks the whole table. To be
     * called when the table's entries were changed without the validator, for example by a
     * rollback.
     */
    public void invalidate() {
        valid = false;
    }

    /** Returns whether the totals match the table's current entries. */
    boolean isValid() {
        return valid;
    }

    /** Returns the version of the node facts from which the totals were computed. */
    long factsVersion() {
        return factsVersion;
    }

    /** Returns the sum of the weights of all entries. */
    double weightSum() {
        return weightSum;
    }

    /** Returns the mean weight of the eligible nodes that have warmed up; infinite if none has. */
    double warmMean() {
        // Infinity disables the weight limit of nodes that are warming up: after a restart of the
        // whole site there is no warm node to compare them with.
        return warmNodes == 0 ? Double.POSITIVE_INFINITY : warmWeightSum / warmNodes;
    }

    /** Returns the number of entries that have a positive weight and whose node is eligible. */
    int eligibleNodes() {
        return eligibleNodes;
    }

    /** Returns the eligible nodes with a positive weight that are still warming up. */
    SortedSet<NodeId> coldNodes() {
        return Collections.unmodifiableSortedSet(coldNodes);
    }

    /** Returns the number of deltas applied since the totals were computed from all entries. */
    int changesSinceComputed() {
        return changesSinceComputed;
    }

    /** Computes the totals from all entries of a table that was just accepted. */
    void compute(Map<NodeId, Double> entries, ValidationContext context) {
        weightSum = 0;
        warmWeightSum = 0;
        warmNodes = 0;
        eligibleNodes = 0;
        changesSinceComputed = 0;
        coldNodes.clear();
        entries.forEach((node, weight) -> add(node, weight, context.nodes().get(node)));
        factsVersion = context.factsVersion();
        valid = true;
    }

    /**
     * Updates the totals by an accepted delta.
     *
     * @param current all entries before the delta
     * @param changed the new weights, 0 for a removed entry
     */
    void apply(
            Map<NodeId, Double> current, Map<NodeId, Double> changed, ValidationContext context) {
        changed.forEach(
                (node, weight) -> {
                    NodeFact fact = context.nodes().get(node);
                    Double previous = current.get(node);
                    if (previous != null) {
                        remove(node, previous, fact);
                    }
                    if (weight != 0) {
                        add(node, weight, fact);
                    }
                });
        changesSinceComputed++;
    }

    /** Returns the totals after a delta without changing this object. */
    AcceptedTotals after(
            Map<NodeId, Double> current, Map<NodeId, Double> changed, ValidationContext context) {
        AcceptedTotals next = new AcceptedTotals();
        next.weightSum = weightSum;
        next.warmWeightSum = warmWeightSum;
        next.warmNodes = warmNodes;
        next.eligibleNodes = eligibleNodes;
        next.coldNodes.addAll(coldNodes);
        next.apply(current, changed, context);
        return next;
    }

    private void add(NodeId node, double weight, NodeFact fact) {
        weightSum += weight;
        if (fact == null || !fact.eligible() || !(weight > 0)) {
            return;
        }
        eligibleNodes++;
        if (fact.warmth() >= 1) {
            warmNodes++;
            warmWeightSum += weight;
        } else {
            coldNodes.add(node);
        }
    }

    private void remove(NodeId node, double weight, NodeFact fact) {
        weightSum -= weight;
        coldNodes.remove(node);
        if (fact == null || !fact.eligible() || !(weight > 0)) {
            return;
        }
        eligibleNodes--;
        if (fact.warmth() >= 1) {
            warmNodes--;
            warmWeightSum -= weight;
        }
    }
}
