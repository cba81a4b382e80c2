package rosespread.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.NodeId;

/** Builds the parts of an update from a table. Immutable. */
final class UpdatePartBuilder {
    private final int methodCount;

    UpdatePartBuilder(int methodCount) {
        this.methodCount = methodCount;
    }

    /** Returns the parts that carry the full table for these methods. */
    List<UpdatePart> full(WeightTable table, List<MethodId> methods) {
        return parts(true, table.weights(), table.admissionLimits(), methods);
    }

    /** Returns the parts that carry this round's changes of the table; none if nothing changed. */
    List<UpdatePart> delta(WeightTable table, List<MethodId> methods) {
        return parts(false, table.changedWeights(), table.changedLimits(), methods);
    }

    /**
     * Returns the part with the weight entries first, along with an admission limit that all
     * methods share. Parts with other limits follow, as a full update resets limits.
     */
    private List<UpdatePart> parts(
            boolean full,
            Map<NodeId, Double> weights,
            Map<MethodId, Double> limits,
            List<MethodId> methods) {
        Map<Double, List<MethodId>> byLimit = methodsByLimit(full, limits, methods);
        boolean shared = isShared(byLimit, methods.size());
        List<UpdatePart> parts = new ArrayList<>();
        if (full || !weights.isEmpty() || shared) {
            double limit = shared ? byLimit.keySet().iterator().next() : UpdatePart.NO_LIMIT;
            parts.add(
                    new UpdatePart(
                            methodsOnWire(methods),
                            full,
                            new TreeMap<>(weights),
                            limit,
                            List.of(),
                            List.of()));
        }
        if (!shared) {
            byLimit.forEach(
                    (limit, limitedMethods) ->
                            parts.add(UpdatePart.ofLimit(methodsOnWire(limitedMethods), limit)));
        }
        return parts;
    }

    /** Groups methods by limit. A full update resets limits, so infinite limits are left out. */
    private static Map<Double, List<MethodId>> methodsByLimit(
            boolean full, Map<MethodId, Double> limits, List<MethodId> methods) {
        Map<Double, List<MethodId>> byLimit = new LinkedHashMap<>();
        for (MethodId method : methods) {
            Double limit = limits.get(method);
            if (limit != null && !(full && Double.isInfinite(limit))) {
                byLimit.computeIfAbsent(limit, absent -> new ArrayList<>()).add(method);
            }
        }
        return byLimit;
    }

    private static boolean isShared(Map<Double, List<MethodId>> byLimit, int methods) {
        return byLimit.size() == 1 && byLimit.values().iterator().next().size() == methods;
    }

    /** Returns the methods to name on the wire: none if the part applies to all methods. */
    private List<MethodId> methodsOnWire(List<MethodId> methods) {
        return methods.size() == methodCount ? List.of() : List.copyOf(methods);
    }
}
