package rosespread.validation;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.NodeFact;
import rosespread.validation.TableChangeValidator.ValidationContext;

/**
 * Computes entries that are sent without an order of the routing policy: the current entries that a
 * table may retain, and the steps by which a released table returns to the entries that the policy
 * requests. Stateless.
 */
final class EntryRetention {
    /** Maximum fraction of the table's weight that one step of a release moves to other nodes. */
    private static final double STEP_SHARE = 0.15;

    private EntryRetention() {}

    /**
     * Returns the entries that may be retained, see {@link TableChangeValidator#retainableEntries}.
     */
    static Map<NodeId, Double> retain(Map<NodeId, Double> entries, ValidationContext context) {
        Map<NodeId, Double> retained = new TreeMap<>();
        double warmMean = EntryRules.warmMean(entries, context);
        entries.forEach(
                (node, weight) -> {
                    NodeFact fact = context.nodes().get(node);
                    if (fact != null && fact.eligible() && Double.isFinite(weight) && weight > 0) {
                        retained.put(node, boundedByWarmth(weight, fact, warmMean));
                    }
                });
        return retained.isEmpty() ? allEligible(context) : retained;
    }

    private static double boundedByWarmth(double weight, NodeFact fact, double warmMean) {
        return fact.warmth() < 1 ? Math.min(weight, fact.warmth() * warmMean) : weight;
    }

    private static Map<NodeId, Double> allEligible(ValidationContext context) {
        Map<NodeId, Double> entries = new TreeMap<>();
        context.nodes()
                .forEach(
                        (node, fact) -> {
                            if (fact.eligible()) {
                                entries.put(node, fact.warmth());
                            }
                        });
        return entries;
    }

    /**
     * Returns the entries after one step of a release, see {@link
     * TableChangeValidator#stepTowards}.
     */
    static Map<NodeId, Double> step(
            Map<NodeId, Double> current, Map<NodeId, Double> desired, ValidationContext context) {
        Map<NodeId, Double> from = retain(current, context);
        // The step itself limits the size of the change, so the rules on the share of moved weight
        // and on the number of changed entries are not applied.
        ValidationContext contextWithoutSizeLimits =
                new ValidationContext(
                        context.nodes(), context.factsVersion(), true, Double.POSITIVE_INFINITY);
        if (!TableRules.check(current, desired, contextWithoutSizeLimits).isEmpty()) {
            return from;
        }
        double moved = WeightShift.movedShare(from, desired);
        if (moved <= STEP_SHARE) {
            return desired;
        }
        return retain(blend(from, desired, STEP_SHARE / moved), context);
    }

    /**
     * Returns the weighted mean of two tables after the first one is scaled to the weight sum of
     * the second.
     */
    private static Map<NodeId, Double> blend(
            Map<NodeId, Double> from, Map<NodeId, Double> to, double toFraction) {
        double scale = WeightShift.sum(to) / WeightShift.sum(from);
        TreeSet<NodeId> allNodes = new TreeSet<>(from.keySet());
        allNodes.addAll(to.keySet());
        Map<NodeId, Double> blended = new TreeMap<>();
        for (NodeId node : allNodes) {
            double weight =
                    (1 - toFraction) * scale * from.getOrDefault(node, 0.0)
                            + toFraction * to.getOrDefault(node, 0.0);
            blended.put(node, weight);
        }
        return blended;
    }
}
