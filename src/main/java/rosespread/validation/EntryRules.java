package rosespread.validation;

import java.util.Map;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.NodeFact;
import rosespread.validation.TableChangeValidator.Reason;
import rosespread.validation.TableChangeValidator.ValidationContext;

/** Rules that each entry of a table must satisfy. Stateless. */
final class EntryRules {
    /**
     * Maximum weight of a node that is warming up, as a multiple of its warmth times the mean
     * weight of warm nodes.
     */
    private static final double MAX_WARM_UP_WEIGHT_MULTIPLE = 4;

    private EntryRules() {}

    /**
     * Returns the first rule that an entry breaks.
     *
     * @param fact the facts about the entry's node, null if the node was never listed
     * @param warmMean the mean weight of warm nodes, infinite if there is none
     * @return null if the entry breaks no rule
     */
    static Reason violation(double weight, NodeFact fact, double warmMean) {
        if (!Double.isFinite(weight) || weight < 0) {
            return Reason.BAD_WEIGHT;
        }
        if (fact == null) {
            return Reason.UNKNOWN_NODE;
        }
        if (fact.leaving()) {
            return Reason.LEAVING_NODE;
        }
        if (fact.warmth() < 1 && weight > MAX_WARM_UP_WEIGHT_MULTIPLE * fact.warmth() * warmMean) {
            return Reason.COLD_TOO_HIGH;
        }
        return null;
    }

    /** Returns the mean weight of warm eligible nodes, infinite if there is none. */
    static double warmMean(Map<NodeId, Double> entries, ValidationContext context) {
        double mean =
                entries.entrySet().stream()
                        .filter(entry -> isWarm(context.nodes().get(entry.getKey())))
                        .filter(entry -> Double.isFinite(entry.getValue()))
                        .mapToDouble(Map.Entry::getValue)
                        .average()
                        .orElse(Double.NaN);
        // Infinity disables the weight limit of nodes that are warming up: after a restart of the
        // whole site there is no warm node to compare them with.
        return Double.isNaN(mean) ? Double.POSITIVE_INFINITY : mean;
    }

    private static boolean isWarm(NodeFact fact) {
        return fact != null && fact.eligible() && fact.warmth() >= 1;
    }
}
