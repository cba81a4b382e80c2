package rosespread.validation;

import java.util.Map;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.NodeFact;
import rosespread.validation.TableChangeValidator.Reason;
import rosespread.validation.TableChangeValidator.ValidationContext;

/** The rules that a single entry of a table must keep. Stateless. */
final class EntryRules {
    /** A node that is warming up may have this multiple of its warmth times the warm mean. */
    private static final double MAX_COLD_MULTIPLE = 4;

    private EntryRules() {}

    /**
     * The rule that an entry breaks.
     *
     * @param fact what is known of its node, null if it was never listed
     * @param warmMean the mean weight of warm nodes, infinite if there is none
     * @return null if the entry may go out
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
        if (fact.warmth() < 1 && weight > MAX_COLD_MULTIPLE * fact.warmth() * warmMean) {
            return Reason.COLD_TOO_HIGH;
        }
        return null;
    }

    /** The mean weight of warm eligible nodes, infinite if there is none. */
    static double warmMean(Map<NodeId, Double> entries, ValidationContext context) {
        double mean =
                entries.entrySet().stream()
                        .filter(entry -> isWarm(context.nodes().get(entry.getKey())))
                        .filter(entry -> Double.isFinite(entry.getValue()))
                        .mapToDouble(Map.Entry::getValue)
                        .average()
                        .orElse(Double.NaN);
        // Without a warm node there is nothing to compare with: a whole site has come back cold.
        return Double.isNaN(mean) ? Double.POSITIVE_INFINITY : mean;
    }

    private static boolean isWarm(NodeFact fact) {
        return fact != null && fact.eligible() && fact.warmth() >= 1;
    }
}
