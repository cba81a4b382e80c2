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
 * Applies every rule to a whole table. The rules on the share of moved weight and on the number of
 * changed entries are checked only if no other rule is broken, so that a table with invalid entries
 * is refused for these entries. Stateless.
 */
final class TableRules {
    /**
     * Maximum fraction of a table's weight that one change may move to other nodes if no large move
     * is expected; a change that moves more is refused.
     */
    static final double MAX_MOVED_SHARE = 0.5;

    private TableRules() {}

    /**
     * Checks a table against every rule.
     *
     * @param current the entries that proxies were last given, empty if none
     * @param desired the entries that the routing policy requests
     * @return the broken rules, in the order of {@link Reason}; empty if no rule is broken
     */
    static List<Refusal> check(
            Map<NodeId, Double> current, Map<NodeId, Double> desired, ValidationContext context) {
        List<Refusal> refusals = new ArrayList<>(entryViolations(desired, context));
        missingEligibleNode(desired, context).ifPresent(refusals::add);
        if (refusals.isEmpty() && !current.isEmpty()) {
            movesTooMuch(current, desired, context).ifPresent(refusals::add);
            tooManyEntries(current, desired, context).ifPresent(refusals::add);
        }
        return refusals;
    }

    private static List<Refusal> entryViolations(
            Map<NodeId, Double> desired, ValidationContext context) {
        Map<Reason, List<NodeId>> violations = new EnumMap<>(Reason.class);
        double warmMean = EntryRules.warmMean(desired, context);
        desired.forEach(
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
                        refusals.add(new Refusal(reason, nodes, nodes.size() + " entries")));
        return refusals;
    }

    private static Optional<Refusal> missingEligibleNode(
            Map<NodeId, Double> desired, ValidationContext context) {
        boolean hasEligibleNode =
                desired.entrySet().stream()
                        .anyMatch(
                                entry ->
                                        entry.getValue() > 0
                                                && isEligible(context.nodes().get(entry.getKey())));
        if (hasEligibleNode
                || context.nodes().values().stream()
                        .noneMatch(fact -> fact.eligible() && fact.warmth() >= 1)) {
            return Optional.empty();
        }
        return refusal(Reason.NO_NODE, "no eligible node in " + desired.size() + " entries");
    }

    private static Optional<Refusal> movesTooMuch(
            Map<NodeId, Double> current, Map<NodeId, Double> desired, ValidationContext context) {
        double moved = WeightShift.movedShare(current, desired);
        if (moved > MAX_MOVED_SHARE
                && !context.largeMoveExpected()
                && isMostWeightEligible(current, context)) {
            return refusal(
                    Reason.MOVES_TOO_MUCH, Math.round(100 * moved) + "% of the weight would move");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> tooManyEntries(
            Map<NodeId, Double> current, Map<NodeId, Double> desired, ValidationContext context) {
        long changed = changedEntries(current, desired);
        if (changed > context.deliverableEntries()) {
            return refusal(
                    Reason.TOO_MANY_LINES,
                    changed
                            + " changed entries, "
                            + Math.round(context.deliverableEntries())
                            + " can be delivered");
        }
        return Optional.empty();
    }

    private static Optional<Refusal> refusal(Reason reason, String figures) {
        return Optional.of(new Refusal(reason, List.of(), figures));
    }

    /**
     * Returns whether more than half of the current weight is on eligible nodes. Otherwise the node
     * list itself requires a large move.
     */
    private static boolean isMostWeightEligible(
            Map<NodeId, Double> current, ValidationContext context) {
        double totalWeight = 0;
        double eligibleWeight = 0;
        for (Map.Entry<NodeId, Double> entry : current.entrySet()) {
            totalWeight += entry.getValue();
            eligibleWeight +=
                    isEligible(context.nodes().get(entry.getKey())) ? entry.getValue() : 0;
        }
        return eligibleWeight > totalWeight / 2;
    }

    private static boolean isEligible(NodeFact fact) {
        return fact != null && fact.eligible();
    }

    private static long changedEntries(Map<NodeId, Double> current, Map<NodeId, Double> desired) {
        long unchanged =
                desired.entrySet().stream()
                        .filter(entry -> entry.getValue().equals(current.get(entry.getKey())))
                        .count();
        long removed = current.keySet().stream().filter(node -> !desired.containsKey(node)).count();
        return desired.size() - unchanged + removed;
    }
}
