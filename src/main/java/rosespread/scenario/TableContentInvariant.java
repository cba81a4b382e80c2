package rosespread.scenario;

import java.util.Map;

/**
 * Checks that tables hold at least one entry, only nodes that were listed, and finite weights of at
 * least 0 that are at most 10 times the table's mean weight. The contract does not require these
 * properties, but a correct controller's tables have them. Confined to the loop's thread.
 */
final class TableContentInvariant {
    /** Highest valid ratio of a weight to the table's mean weight. */
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
        String error = findError(controller, weights);
        if (!error.isEmpty()) {
            String where = proxy + " at " + timeline.describe(nanos);
            result.recordValue(1, where);
            result.recordViolation(where + ": " + error);
        }
    }

    /** The last error in node order; empty if there is none. */
    private String findError(String controller, Map<String, Double> weights) {
        boolean served = nodeLists.isServed(controller);
        double mean = weights.values().stream().mapToDouble(weight -> weight).average().orElse(0);
        String error = weights.isEmpty() ? "no entries" : "";
        for (Map.Entry<String, Double> entry : weights.entrySet()) {
            String node = entry.getKey();
            if (!isValid(entry.getValue(), mean)) {
                error = "weight " + entry.getValue() + " of " + node + ", mean " + mean;
            } else if (served && nodeLists.node(controller, node) == null) {
                error = "node was never listed: " + node;
            }
        }
        return error;
    }

    private static boolean isValid(double weight, double mean) {
        boolean excessive = weight > MAX_WEIGHT_RATIO * mean;
        return Double.isFinite(weight) && weight >= 0 && !excessive;
    }
}
