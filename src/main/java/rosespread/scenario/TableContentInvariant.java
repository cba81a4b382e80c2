package rosespread.scenario;

import java.util.Map;

/**
 * Tables hold what a sound controller sends: at least one entry, only nodes that were listed, and
 * finite weights that are not out of all proportion. No rule of the contract says so. Confined to
 * the loop's thread.
 */
final class TableContentInvariant {
    /** A weight above so many times the table's mean is taken for a fault. */
    private static final double MAX_WEIGHT_RATIO = 10;

    private final InvariantResult result = new InvariantResult("tablesInMeasure", 0);
    private final RunTimeline timeline;
    private final ServedNodeLists nodeLists;

    TableContentInvariant(RunTimeline timeline, ServedNodeLists nodeLists) {
        this.timeline = timeline;
        this.nodeLists = nodeLists;
    }

    InvariantResult result() {
        return result;
    }

    void tableChanged(long nanos, String proxy, String controller, Map<String, Double> weights) {
        result.countCheck();
        String fault = findFault(controller, weights);
        if (!fault.isEmpty()) {
            String where = proxy + " at " + timeline.describe(nanos);
            result.recordValue(1, where);
            result.recordViolation(where + ": " + fault);
        }
    }

    /** The last fault in order of nodes; empty if there is none. */
    private String findFault(String controller, Map<String, Double> weights) {
        boolean served = nodeLists.isServed(controller);
        double mean = weights.values().stream().mapToDouble(weight -> weight).average().orElse(0);
        String fault = weights.isEmpty() ? "no line" : "";
        for (Map.Entry<String, Double> entry : weights.entrySet()) {
            String node = entry.getKey();
            if (!isSound(entry.getValue(), mean)) {
                fault = "weight " + entry.getValue() + " of " + node;
            } else if (served && nodeLists.node(controller, node) == null) {
                fault = "a node that was never listed, " + node;
            }
        }
        return fault;
    }

    private static boolean isSound(double weight, double mean) {
        boolean excessive = weight > MAX_WEIGHT_RATIO * mean;
        return Double.isFinite(weight) && weight >= 0 && !excessive;
    }
}
