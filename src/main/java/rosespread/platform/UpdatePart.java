package rosespread.platform;

import java.util.List;
import java.util.Map;
import rosespread.api.MethodId;
import rosespread.api.NodeId;

/**
 * One part of an update to a proxy.
 *
 * @param methods the methods that the part applies to; empty for all
 * @param full whether the weights are the full table, which resets admission limits
 * @param weights weight entries; 0 removes one
 * @param admissionLimit the methods' admission limit, infinite to admit all requests; {@link
 *     #NO_LIMIT} if the part sets none
 * @param excluded nodes that the proxy must not send to, whatever its tables say
 * @param readmitted nodes that are no longer excluded
 */
record UpdatePart(
        List<MethodId> methods,
        boolean full,
        Map<NodeId, Double> weights,
        double admissionLimit,
        List<NodeId> excluded,
        List<NodeId> readmitted) {
    /** The value of a part that sets no admission limit; NaN, so test with {@link #setsLimit}. */
    static final double NO_LIMIT = Double.NaN;

    /** A part that only excludes and readmits nodes, for all methods of a proxy. */
    static UpdatePart ofExclusions(List<NodeId> excluded, List<NodeId> readmitted) {
        return new UpdatePart(List.of(), false, Map.of(), NO_LIMIT, excluded, readmitted);
    }

    /** A part that only sets an admission limit. */
    static UpdatePart ofLimit(List<MethodId> methods, double admissionLimit) {
        return new UpdatePart(methods, false, Map.of(), admissionLimit, List.of(), List.of());
    }

    /** Whether the part sets an admission limit. */
    boolean setsLimit() {
        return !Double.isNaN(admissionLimit);
    }
}
