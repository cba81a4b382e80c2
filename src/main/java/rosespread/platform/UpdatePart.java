package rosespread.platform;

import java.util.List;
import java.util.Map;
import rosespread.api.MethodId;
import rosespread.api.NodeId;

/**
 * One part of a message to a proxy.
 *
 * @param methods whom it is meant for; empty: all
 * @param whole whether the lines are the whole table, which forgets levels
 * @param level how much is let in; NaN: not told, infinite: all
 */
record UpdatePart(
        List<MethodId> methods,
        boolean full,
        Map<NodeId, Double> weights,
        double admissionLimit,
        List<NodeId> excluded,
        List<NodeId> readmitted) {
    /** What shuts nodes out of everything that a proxy holds, or lets them back. */
    static UpdatePart ofExclusions(List<NodeId> out, List<NodeId> back) {
        return new UpdatePart(List.of(), false, Map.of(), Double.NaN, out, back);
    }
}
