package rosespread.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.NodeId;

/** Builds the parts of an update from a table. Holds no state but the number of methods. */
final class UpdatePartBuilder {
    private final int methodCount;

    UpdatePartBuilder(int methodCount) {
        this.methodCount = methodCount;
    }

    /** The parts that bring the whole table to these methods. */
    List<UpdatePart> full(WeightTable table, List<MethodId> methods) {
        return parts(true, table.weights(), table.admissionLimits(), methods);
    }

    /** The parts that bring this round's changes of the table; none if nothing changed. */
    List<UpdatePart> delta(WeightTable table, List<MethodId> methods) {
        return parts(false, table.changedWeights(), table.changedLimits(), methods);
    }

    /**
     * Weight entries come first, along with an admission limit that all methods share; other limits
     * follow, as a full update resets limits.
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
                            named(methods),
                            full,
                            new TreeMap<>(weights),
                            limit,
                            List.of(),
                            List.of()));
        }
        if (!shared) {
            byLimit.forEach((limit, some) -> parts.add(UpdatePart.ofLimit(named(some), limit)));
        }
        return parts;
    }

    /** In a full update, a method without a limit needs none to be sent. */
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

    /** On the wire, naming no method stands for all of them. */
    private List<MethodId> named(List<MethodId> methods) {
        return methods.size() == methodCount ? List.of() : List.copyOf(methods);
    }
}
