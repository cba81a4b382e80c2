package rosespread.policy;

import java.util.Arrays;
import java.util.TreeMap;

/** A routing table as the proxies hold it: weights by node, admission limits by method. */
final class SimulatedTable {
    final TreeMap<Long, Double> weights = new TreeMap<>();
    final double[] limits;

    /** Rate of the requests routed by this table, by the zone of the sending proxy. */
    final double[] sentRates;

    /** Number of changes written in this round. */
    int changes;

    SimulatedTable(int methods, int zones) {
        limits = new double[methods];
        Arrays.fill(limits, Double.POSITIVE_INFINITY);
        sentRates = new double[zones];
    }

    double totalWeight() {
        double sum = 0;
        for (double weight : weights.values()) {
            sum += weight;
        }
        return sum;
    }
}
