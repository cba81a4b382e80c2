package rosespread.validation;

import java.util.Map;
import java.util.TreeSet;
import rosespread.api.NodeId;

/**
 * Computes which fraction of a table's weight a change moves to other nodes: 0 if the proportions
 * stay the same, 1 if no node keeps any weight. The result is also 1 if the weight sum before or
 * after the change is not positive. Stateless.
 */
final class WeightShift {
    private WeightShift() {}

    /** Returns the fraction of weight that moves from one whole table to another. */
    static double movedShare(Map<NodeId, Double> from, Map<NodeId, Double> to) {
        double fromSum = sum(from);
        double toSum = sum(to);
        if (!(fromSum > 0) || !(toSum > 0)) {
            return 1;
        }
        TreeSet<NodeId> allNodes = new TreeSet<>(from.keySet());
        allNodes.addAll(to.keySet());
        return allNodes.stream()
                        .mapToDouble(
                                node ->
                                        Math.abs(
                                                from.getOrDefault(node, 0.0) / fromSum
                                                        - to.getOrDefault(node, 0.0) / toSum))
                        .sum()
                / 2;
    }

    /**
     * Returns the fraction of weight that a change of a few entries moves. If the weight sum
     * changes, the unchanged entries' fractions of the weight change as well, and this counts as
     * moved weight.
     *
     * @param fromSum the weight sum of the former table
     * @param toSum the weight sum of the new table
     * @param from the former entries
     * @param changed new weights, 0 for a removed entry
     */
    static double movedShare(
            double fromSum, double toSum, Map<NodeId, Double> from, Map<NodeId, Double> changed) {
        if (!(fromSum > 0) || !(toSum > 0)) {
            return 1;
        }
        double unchanged = fromSum;
        double moved = 0;
        for (Map.Entry<NodeId, Double> entry : changed.entrySet()) {
            double weightBefore = from.getOrDefault(entry.getKey(), 0.0);
            unchanged -= weightBefore;
            moved += Math.abs(weightBefore / fromSum - entry.getValue() / toSum);
        }
        return (moved + Math.max(0, unchanged) * Math.abs(1 / fromSum - 1 / toSum)) / 2;
    }

    /** Returns the sum of the weights of all entries. */
    static double sum(Map<NodeId, Double> entries) {
        return entries.values().stream().mapToDouble(weight -> weight).sum();
    }
}
