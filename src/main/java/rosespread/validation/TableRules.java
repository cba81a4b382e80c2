package rosespread.validation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.NodeFact;
import rosespread.validation.TableChangeValidator.Reason;
import rosespread.validation.TableChangeValidator.Refusal;
import rosespread.validation.TableChangeValidator.ValidationContext;

/**
 * All rules applied to a whole table. The rules on the size of a change are looked at only if all
 * others are kept: a table with wrong entries is refused for those. Stateless.
 */
final class TableRules {
    /** A change may move this share of all weight at once without a cause. */
    static final double MAX_MOVED_SHARE = 0.5;

    private TableRules() {}

    /**
     * Checks a table against every rule.
     *
     * @param current the entries that proxies were last given, empty if none
     * @return the rules that are broken, in the order of {@link Reason}; empty if all are kept
     */
    static List<Refusal> check(
            Map<NodeId, Double> current, Map<NodeId, Double> wanted, ValidationContext context) {
        List<Refusal> refusals = new ArrayList<>(badEntries(wanted, context));
        noNode(wanted, context).ifPresent(refusals::add);
        if (refusals.isEmpty() && !current.isEmpty()) {
            movesTooMuch(current, wanted, context).ifPresent(refusals::add);
            tooManyEntries(current, wanted, context).ifPresent(refusals::add);
        }
        return refusals;
    }

    private static List<Refusal> badEntries(Map<NodeId, Double> wanted, ValidationContext context) {
        Map<Reason, List<NodeId>> violations = new EnumMap<>(Reason.class);
        double warmMean = EntryRules.warmMean(wanted, context);
        wanted.forEach(
                (node, weight) -> {
                    Reason reason =
                            EntryRules.violation(weight, context.nodes().get(node), warmMean);
                    if (reason != null) {
                        violations.computeIfAbsent(reason, r -> new ArrayList<>()).add(node);
                    }
                });
        List<Refusal> refusals = new ArrayList<>();
        violations.forEach(
                (reason, nodes) ->
                        refusals.add(new Refusal(reason, nodes, nodes.size() + " lines")));
        return refusals;
    }

    private static Optional<Refusal> noNode(Map<NodeId, Double> wanted, ValidationContext context) {
        boolean served =
                wanted.entrySet().stream()
                        .anyMatch(
                                entry ->
                                        entry.getValue() > 0
                                                && isEligible(context.nodes().get(entry.getKey())));
        if (served
                || context.nodes().values().stream()
                        .noneMatch(fact -> fact.eligible() && fact.warmth() >= 1)) {
            return Optional.empty();
        }
        return refusal(Reason.NO_NODE, "no ready node of " + wanted.size() + " lines");
    }

    private static Optional<Refusal> movesTooMuch(
            Map<NodeId, Double> current, Map<NodeId, Double> wanted, ValidationContext context) {
        double moved = WeightShift.share(current, wanted);
        if (moved > MAX_MOVED_SHARE
                && !context.largeMoveExpected()
                && mostCanStay(current, context)) {
            return refusal(Reason.MOVES_TOO_MUCH, Math.round(100 * moved) + "% of all weight");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> tooManyEntries(
            Map<NodeId, Double> current, Map<NodeId, Double> wanted, ValidationContext context) {
        long changed = changedEntries(current, wanted);
        if (changed > context.deliverableEntries()) {
            return refusal(
                    Reason.TOO_MANY_LINES,
                    changed
                            + " lines, "
                            + Math.round(context.deliverableEntries())
                            + " can be carried");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> refusal(Reason reason, String figures) {
        return Optional.of(new Refusal(reason, List.of(), figures));
    }

    /** Whether most of the current weight can stay: else a large move is what the list asks for. */
    private static boolean mostCanStay(Map<NodeId, Double> current, ValidationContext context) {
        double all = 0;
        double eligible = 0;
        for (Map.Entry<NodeId, Double> entry : current.entrySet()) {
            all += entry.getValue();
            eligible += isEligible(context.nodes().get(entry.getKey())) ? entry.getValue() : 0;
        }
        return eligible > all / 2;
    }

    private static boolean isEligible(NodeFact fact) {
        return fact != null && fact.eligible();
    }

    private static long changedEntries(Map<NodeId, Double> current, Map<NodeId, Double> wanted) {
        long same =
                wanted.entrySet().stream()
                        .filter(entry -> entry.getValue().equals(current.get(entry.getKey())))
                        .count();
        long removed = current.keySet().stream().filter(node -> !wanted.containsKey(node)).count();
        return wanted.size() - same + removed;
    }
}
