package rosespread.validation;

import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.NodeFact;
import rosespread.validation.TableChangeValidator.ValidationContext;

/**
 * Entries that go out without the routing policy having ordered them: what may stay of a table, and
 * the steps by which a pinned table comes back to what is wanted. Stateless.
 */
final class EntryRetention {
    /** The share of all weight that one step moves. */
    private static final double STEP_SHARE = 0.15;

    private EntryRetention() {}

    /** See {@link TableChangeValidator#retainableEntries}. */
    static Map<NodeId, Double> retain(Map<NodeId, Double> entries, ValidationContext context) {
        Map<NodeId, Double> retained = new TreeMap<>();
        double warmMean = EntryRules.warmMean(entries, context);
        entries.forEach(
                (node, weight) -> {
                    NodeFact fact = context.nodes().get(node);
                    if (fact != null && fact.eligible() && Double.isFinite(weight) && weight > 0) {
                        retained.put(node, bounded(weight, fact, warmMean));
                    }
                });
        return retained.isEmpty() ? allEligible(context) : retained;
    }

    private static double bounded(double weight, NodeFact fact, double warmMean) {
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

    /** See {@link TableChangeValidator#stepTowards}. */
    static Map<NodeId, Double> step(
            Map<NodeId, Double> current, Map<NodeId, Double> wanted, ValidationContext context) {
        Map<NodeId, Double> from = retain(current, context);
        // The step is what keeps the move small, so neither rule on its size is applied here.
        ValidationContext anySize =
                new ValidationContext(
                        context.nodes(), context.factsVersion(), true, Double.POSITIVE_INFINITY);
        if (!TableRules.check(current, wanted, anySize).isEmpty()) {
            return from;
        }
        double moved = WeightShift.share(from, wanted);
        if (moved <= STEP_SHARE) {
            return wanted;
        }
        return retain(blend(from, wanted, STEP_SHARE / moved), context);
    }

    /** Both tables mixed, the first one scaled to the sum of the second. */
    private static Map<NodeId, Double> blend(
            Map<NodeId, Double> from, Map<NodeId, Double> to, double toShare) {
        double scale = WeightShift.sum(to) / WeightShift.sum(from);
        TreeSet<NodeId> all = new TreeSet<>(from.keySet());
        all.addAll(to.keySet());
        Map<NodeId, Double> mixed = new TreeMap<>();
        for (NodeId node : all) {
            double weight =
                    (1 - toShare) * scale * from.getOrDefault(node, 0.0)
                            + toShare * to.getOrDefault(node, 0.0);
            mixed.put(node, weight);
        }
        return mixed;
    }
}
