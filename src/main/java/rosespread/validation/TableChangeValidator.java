package rosespread.validation;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;

/**
 * Decides which entries of a routing table are rolled out: it stands between the table that the
 * routing policy wants and the one that proxies were last given. A change that fails a rule never
 * goes out; the last accepted entries stay, less those of nodes that drain or are gone, so that a
 * refusal delays no drain, and a table that would be left without a node gets every eligible one.
 * docs/versions.md tells for each rule how it could do harm and when it steps aside.
 *
 * <p>Does no I/O and reads no clock. Stateless and therefore thread-safe; {@link AcceptedTotals}
 * passed in belong to the calling thread. Weights are relative numbers without a unit. Not final,
 * so that a test can let everything pass.
 */
public class TableChangeValidator {
    /** Why a change is refused. Names are reported by the control API and must not change. */
    public enum Reason {
        /** A weight is negative, infinite or not a number. */
        BAD_WEIGHT,
        /** An entry names a node that discovery has never listed. */
        UNKNOWN_NODE,
        /** An entry names a node that drains or is gone. */
        LEAVING_NODE,
        /** No entry has an eligible node although a warm one is listed. */
        NO_NODE,
        /** A node that is warming up would get too large a weight. */
        COLD_TOO_HIGH,
        /** Too large a part of all weight would move at once without a cause. */
        MOVES_TOO_MUCH,
        /** More entries change than the channel can deliver in time. */
        TOO_MANY_LINES
    }

    /**
     * A rule that was broken.
     *
     * @param reason the rule
     * @param nodes the nodes of the entries at fault, empty if the table as a whole is
     * @param figures what was found, for operators
     */
    public record Refusal(Reason reason, List<NodeId> nodes, String figures) {}

    /**
     * What is known of a node.
     *
     * @param state as discovery and drains have it
     * @param warmth the part of its capacity that it can be relied on to have by now, 0 to 1; 1
     *     once it is warm
     * @param open whether the table's methods and zones may use it
     */
    public record NodeFact(NodeState state, double warmth, boolean open) {
        /** Whether the table may have an entry for the node. */
        public boolean eligible() {
            return state == NodeState.READY && open;
        }

        /** Whether an entry for the node must be removed. */
        public boolean leaving() {
            return state != NodeState.READY;
        }
    }

    /**
     * What is known as a change is validated.
     *
     * @param nodes all nodes that discovery has ever listed
     * @param factsVersion changes whenever a fact may have changed, other than that a node has
     *     warmed up further
     * @param largeMoveExpected whether endpoint list or health have lately changed so that a large
     *     move of weight can be intended
     * @param deliverableEntries how many entries the channel can deliver to each proxy of this
     *     table within the drain timeout
     */
    public record ValidationContext(
            Map<NodeId, NodeFact> nodes,
            long factsVersion,
            boolean largeMoveExpected,
            double deliverableEntries) {}

    /**
     * What comes of a validation.
     *
     * @param entries the entries to roll out now
     * @param refusals the rules that were broken; empty if {@code entries} are those that were
     *     wanted
     */
    public record ValidationResult(Map<NodeId, Double> entries, List<Refusal> refusals) {}

    /** Sums of weights drift a little with each change; after so many they are computed again. */
    private static final int MAX_INCREMENTAL_CHANGES = 10_000;

    /**
     * Validates a whole table.
     *
     * @param current the entries that proxies were last given, empty if none
     * @param wanted the entries that the routing policy wants
     */
    public ValidationResult validate(
            Map<NodeId, Double> current, Map<NodeId, Double> wanted, ValidationContext context) {
        List<Refusal> refusals = TableRules.check(current, wanted, context);
        return new ValidationResult(
                refusals.isEmpty() ? wanted : retainableEntries(current, context), refusals);
    }

    /**
     * Validates a change of a few entries of a table whose other entries were accepted before: the
     * same result as for the whole table, at the cost of the change. An accepted change is added to
     * the totals, a refused one drops them.
     *
     * @param totals of the current entries
     * @param current the entries that proxies were last given, empty if none
     * @param wanted the entries that the routing policy wants
     * @param changed every entry in which {@code wanted} differs from {@code current}, weight 0 for
     *     a removed one; may hold others
     */
    public ValidationResult validate(
            AcceptedTotals totals,
            Map<NodeId, Double> current,
            Map<NodeId, Double> wanted,
            Map<NodeId, Double> changed,
            ValidationContext context) {
        if (!totals.isKnown()
                || totals.factsVersion() != context.factsVersion()
                || totals.changes() >= MAX_INCREMENTAL_CHANGES) {
            return validateWhole(totals, current, wanted, context);
        }
        AcceptedTotals next = totals.after(current, changed, context);
        if (!entriesPass(next, wanted, changed, context)
                || !changePasses(totals, next, current, changed, context)) {
            // The whole table is validated for reasons and figures: a refusal is rare.
            ValidationResult result = validate(current, wanted, context);
            if (!result.refusals().isEmpty()) {
                totals.invalidate();
                return result;
            }
        }
        totals.apply(current, changed, context);
        return new ValidationResult(wanted, List.of());
    }

    private ValidationResult validateWhole(
            AcceptedTotals totals,
            Map<NodeId, Double> current,
            Map<NodeId, Double> wanted,
            ValidationContext context) {
        ValidationResult result = validate(current, wanted, context);
        if (result.refusals().isEmpty()) {
            totals.compute(wanted, context);
        } else {
            totals.invalidate();
        }
        return result;
    }

    /**
     * Whether changed and cold entries keep the rules of an entry, and an eligible node is left.
     */
    private static boolean entriesPass(
            AcceptedTotals next,
            Map<NodeId, Double> wanted,
            Map<NodeId, Double> changed,
            ValidationContext context) {
        if (next.eligible() == 0) {
            return false;
        }
        double warmMean = next.warmMean();
        TreeSet<NodeId> affected = new TreeSet<>(next.cold());
        affected.addAll(changed.keySet());
        for (NodeId node : affected) {
            Double weight = wanted.get(node);
            if (weight != null
                    && EntryRules.violation(weight, context.nodes().get(node), warmMean) != null) {
                return false;
            }
        }
        return true;
    }

    /** Whether the change keeps the rules on its size. */
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
                        || WeightShift.share(totals.sum(), next.sum(), current, changed)
                                <= TableRules.MAX_MOVED_SHARE);
    }

    private static boolean differs(Map.Entry<NodeId, Double> changed, Map<NodeId, Double> current) {
        Double weight = changed.getValue() == 0 ? null : changed.getValue();
        return !Objects.equals(current.get(changed.getKey()), weight);
    }

    /**
     * The entries that may stay of a table: those of nodes that drain, are gone or unknown are
     * dropped, and nodes that are warming up are held to their warmth, since an entry may have been
     * made for a node that was warm and has restarted since. If nothing is left, all eligible nodes
     * take their place, each with its warmth as weight.
     */
    public Map<NodeId, Double> retainableEntries(
            Map<NodeId, Double> entries, ValidationContext context) {
        return EntryRetention.retain(entries, context);
    }

    /**
     * One step from entries that were pinned towards those that the routing policy wants: a part of
     * the way, so that releasing a table moves no more than a stated share of all weight at once.
     * Wanted entries that break a rule are not approached.
     */
    public Map<NodeId, Double> stepTowards(
            Map<NodeId, Double> current, Map<NodeId, Double> wanted, ValidationContext context) {
        return EntryRetention.step(current, wanted, context);
    }
}
