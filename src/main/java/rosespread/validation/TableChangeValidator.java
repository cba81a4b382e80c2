package rosespread.validation;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;

/**
 * Decides which entries of a routing table are rolled out, given the table that the routing policy
 * requests and the table that was last sent to proxies. A change that breaks a rule is never sent.
 * The last accepted entries are retained instead, without those of nodes that drain or are gone, so
 * that a refusal does not delay a drain. A table that would have no node left gets all eligible
 * nodes. docs/versions.md explains for each rule when it may misfire and when it is not applied.
 *
 * <p>Does no I/O and reads no clock. Stateless and therefore thread-safe; {@link AcceptedTotals}
 * passed in belong to the calling thread. Weights are relative numbers without a unit. Not final,
 * so that a test can replace it by a validator that accepts every change.
 */
public class TableChangeValidator {
    /**
     * The reason why a change is refused. The control API reports the names; they must not change.
     */
    public enum Reason {
        /** A weight is negative, infinite or not a number. */
        BAD_WEIGHT,
        /** An entry names a node that discovery has never listed. */
        UNKNOWN_NODE,
        /** An entry names a node that drains or is gone. */
        LEAVING_NODE,
        /** No entry has an eligible node although a warm eligible node is listed. */
        NO_NODE,
        /**
         * The weight of a node that is warming up exceeds a multiple of its warmth times the mean
         * weight of warm nodes.
         */
        COLD_TOO_HIGH,
        /**
         * More than half of the table's weight would move to other nodes in one change, although no
         * large move is expected.
         */
        MOVES_TOO_MUCH,
        /**
         * More entries change than the channel can deliver to each proxy within the drain timeout.
         */
        TOO_MANY_LINES
    }

    /**
     * A rule that was broken.
     *
     * @param reason the rule
     * @param nodes the nodes of the invalid entries, empty if the table as a whole breaks the rule
     * @param figures the values that broke the rule, for operators
     */
    public record Refusal(Reason reason, List<NodeId> nodes, String figures) {}

    /**
     * The facts about a node that the validator uses.
     *
     * @param state the state according to discovery and drains
     * @param warmth the fraction of its full capacity that the node has reliably reached in its
     *     warm-up, 0 to 1; 1 once the node is warm
     * @param allowed whether the table's methods and zones may use the node
     */
    public record NodeFact(NodeState state, double warmth, boolean allowed) {
        /** Returns whether the table may have an entry for the node. */
        public boolean eligible() {
            return state == NodeState.READY && allowed;
        }

        /** Returns whether an entry for the node must be removed. */
        public boolean leaving() {
            return state != NodeState.READY;
        }
    }

    /**
     * The circumstances under which a change is validated.
     *
     * @param nodes the facts about all nodes that discovery has ever listed
     * @param factsVersion changes whenever a fact may have changed, except for progress in a node's
     *     warm-up
     * @param largeMoveExpected whether the endpoint list or the health of nodes changed recently,
     *     so that a large move of weight can be intended
     * @param deliverableEntries how many entries the channel can deliver to each proxy of this
     *     table within the drain timeout
     */
    public record ValidationContext(
            Map<NodeId, NodeFact> nodes,
            long factsVersion,
            boolean largeMoveExpected,
            double deliverableEntries) {}

    /**
     * The result of a validation.
     *
     * @param entries the entries to roll out now
     * @param refusals the rules that were broken; empty if {@code entries} are the desired ones
     */
    public record ValidationResult(Map<NodeId, Double> entries, List<Refusal> refusals) {}

    /**
     * Number of accepted changes after which {@link AcceptedTotals} are computed again from the
     * whole table, because rounding errors in the sums of weights accumulate.
     */
    private static final int MAX_INCREMENTAL_CHANGES = 10_000;

    /**
     * Validates a whole table.
     *
     * @param current the entries that proxies were last given, empty if none
     * @param desired the entries that the routing policy requests
     */
    public ValidationResult validate(
            Map<NodeId, Double> current, Map<NodeId, Double> desired, ValidationContext context) {
        List<Refusal> refusals = TableRules.check(current, desired, context);
        return new ValidationResult(
                refusals.isEmpty() ? desired : retainableEntries(current, context), refusals);
    }

    /**
     * Validates a change of a few entries of a table whose other entries were accepted before. The
     * result is the same as for the whole table, but the cost depends on the size of the change and
     * not of the table. An accepted change updates the totals; a refused change invalidates them.
     *
     * @param totals the totals over the current entries
     * @param current the entries that proxies were last given, empty if none
     * @param desired the entries that the routing policy requests
     * @param changed every entry in which {@code desired} differs from {@code current}, with weight
     *     0 for a removed entry; may contain unchanged entries as well
     */
    public ValidationResult validate(
            AcceptedTotals totals,
            Map<NodeId, Double> current,
            Map<NodeId, Double> desired,
            Map<NodeId, Double> changed,
            ValidationContext context) {
        if (!totals.isValid()
                || totals.factsVersion() != context.factsVersion()
                || totals.changesSinceComputed() >= MAX_INCREMENTAL_CHANGES) {
            return validateWhole(totals, current, desired, context);
        }
        AcceptedTotals next = totals.after(current, changed, context);
        if (!entriesPass(next, desired, changed, context)
                || !changePasses(totals, next, current, changed, context)) {
            // Validating the whole table gives all reasons and figures; refusals are rare.
            ValidationResult result = validate(current, desired, context);
            if (!result.refusals().isEmpty()) {
                totals.invalidate();
                return result;
            }
        }
        totals.apply(current, changed, context);
        return new ValidationResult(desired, List.of());
    }

    private ValidationResult validateWhole(
            AcceptedTotals totals,
            Map<NodeId, Double> current,
            Map<NodeId, Double> desired,
            ValidationContext context) {
        ValidationResult result = validate(current, desired, context);
        if (result.refusals().isEmpty()) {
            totals.compute(desired, context);
        } else {
            totals.invalidate();
        }
        return result;
    }

    /**
     * Returns whether all changed entries and all entries of nodes that are warming up satisfy
     * {@link EntryRules}, and at least one eligible node is left.
     */
    private static boolean entriesPass(
            AcceptedTotals next,
            Map<NodeId, Double> desired,
            Map<NodeId, Double> changed,
            ValidationContext context) {
        if (next.eligibleNodes() == 0) {
            return false;
        }
        double warmMean = next.warmMean();
        TreeSet<NodeId> affected = new TreeSet<>(next.coldNodes());
        affected.addAll(changed.keySet());
        for (NodeId node : affected) {
            Double weight = desired.get(node);
            if (weight != null
                    && EntryRules.violation(weight, context.nodes().get(node), warmMean) != null) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the change satisfies the rules on the share of moved weight and on the number
     * of changed entries.
     */
    private static boolean changePasses(
            AcceptedTotals totals,
            AcceptedTotals next,
            Map<NodeId, Double> current,
            Map<NodeId, Double> changed,
            ValidationContext context) {
        if (current.isEmpty()) {
            return true;
        }
        long changes = changed.entrySet().stream().filter(entry -> differs(entry, current)).count();
        return changes <= context.deliverableEntries()
                && (context.largeMoveExpected()
                        || WeightShift.movedShare(
                                        totals.weightSum(), next.weightSum(), current, changed)
                                <= TableRules.MAX_MOVED_SHARE);
    }

    private static boolean differs(Map.Entry<NodeId, Double> changed, Map<NodeId, Double> current) {
        Double weight = changed.getValue() == 0 ? null : changed.getValue();
        return !Objects.equals(current.get(changed.getKey()), weight);
    }

    /**
     * Returns the entries of a table that may be retained. Entries of nodes that drain, are gone or
     * unknown are removed. Weights of nodes that are warming up are limited by their warmth,
     * because a node may have been warm when its entry was made and may have restarted since. If no
     * entry is left, the result has all eligible nodes, each with its warmth as weight.
     */
    public Map<NodeId, Double> retainableEntries(
            Map<NodeId, Double> entries, ValidationContext context) {
        return EntryRetention.retain(entries, context);
    }

    /**
     * Returns the entries after one step from the entries of a released table towards those that
     * the routing policy requests. Each step moves at most 15 % of the weight, so that the release
     * of a pinned table causes no large move. If the requested entries break a rule, the step only
     * retains the current entries that may stay.
     */
    public Map<NodeId, Double> stepTowards(
            Map<NodeId, Double> current, Map<NodeId, Double> desired, ValidationContext context) {
        return EntryRetention.step(current, desired, context);
    }
}
