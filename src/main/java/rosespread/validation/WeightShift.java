package rosespread.validation;

import java.util.Map;
import java.util.TreeSet;
import rosespread.api.NodeId;

/**
 * How much of a table's weight a change moves to other nodes, as a share of all weight: 0 if the
 * proportions stay as they are, 1 if no node keeps any. A table without weight on either side
 * counts as moved whole. Stateless.
 */
final class WeightShift {
    private WeightShift() {}

    /** The share moved between two whole tables. */
    static double share(Map<NodeId, Double> from, Map<NodeId, Double> to) {
        double fromSum = sum(from);
        double toSum = sum(to);
        if (!(fromSum > 0) || !(toSum > 0)) {
            return 1;
        }
        TreeSet<NodeId> all = new TreeSet<>(from.keySet());
        all.addAll(to.keySet());
        return all.stream()
                        .mapToDouble(
                                node ->
                                        Math.abs(
                                                from.getOrDefault(node, 0.0) / fromSum
                                                        - to.getOrDefault(node, 0.0) / toSum))
                        .sum()
                / 2;
    }

    /**
     * The share that a change of a few entries moves; all others move by what the sum changed.
     *
     * @param fromSum the sum of the weights before
     * @param toSum the sum of the weights after
     * @param from entries before
     * @param changed new weights, 0 for a removed entry
     */
    static double share(
            double fromSum, double toSum, Map<NodeId, Double> from, Map<NodeId, Double> changed) {
        if (!(fromSum > 0) || !(toSum > 0)) {
            return 1;
        }
        double unchanged = fromSum;
        double moved = 0;
        for (Map.Entry<NodeId, Double> entry : changed.entrySet()) {
            double before = from.getOrDefault(entry.getKey(), 0.0);
            unchanged -= before;
            moved += Math.abs(before / fromSum - entry.getValue() / toSum);
        }
        return (moved + Math.max(0, unchanged) * Math.abs(1 / fromSum - 1 / toSum)) / 2;
    }

    /** The sum of all weights. */
    static double sum(Map<NodeId, Double> entries) {
        return entries.values().stream().mapToDouble(weight -> weight).sum();
    }
}
