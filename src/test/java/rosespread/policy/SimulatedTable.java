package rosespread.policy;

import java.util.Arrays;
import java.util.TreeMap;

/** A routing table as the proxies hold it: weights by node, admission limits by method. */
final class SimulatedTable {
    final TreeMap<Long, Double> weights = new TreeMap<>();
    final double[] limits;

    /** The rate sent by it from each zone. */
    final double[] sent;

    /** Changes written in this round. */
    int changes;

    SimulatedTable(int methods, int zones) {
        limits = new double[methods];
        Arrays.fill(limits, Double.POSITIVE_INFINITY);
        sent = new double[zones];
    }

    double sum() {
        double sum = 0;
        for (double weight : weights.values()) {
            sum += weight;
        }
        return sum;
    }
}
