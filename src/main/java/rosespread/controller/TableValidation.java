package rosespread.controller;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import rosespread.api.NodeId;
import rosespread.api.ZoneId;
import rosespread.discovery.ListedNode;
import rosespread.validation.TableChangeValidator;

/**
 * Validates the changes of a table: calls the {@link TableChangeValidator} with the node states and
 * the channel capacity that apply to this table. Reports to the {@link ModeLog} when changes start
 * to be refused, when the reasons change, and when the table passes again.
 *
 * <p>Used on the event-loop thread.
 */
final class TableValidation {
    private static final int MAX_LOGGED_NODES = 10;

    private final TableChangeValidator validator;
    private final NodeFacts facts;
    private final Map<NodeId, ListedNode> nodes;
    private final RoundCapacity capacity;
    private final ModeLog modes;

    TableValidation(
            TableChangeValidator validator,
            NodeFacts facts,
            Map<NodeId, ListedNode> nodes,
            RoundCapacity capacity,
            ModeLog modes) {
        this.validator = validator;
        this.facts = facts;
        this.nodes = nodes;
        this.capacity = capacity;
        this.modes = modes;
    }

    /** Returns the current facts on nodes and channel for the validation of a table. */
    TableChangeValidator.ValidationContext context(ManagedTable table) {
        if (table.zones().isEmpty()) {
            table.restoreZones(zonesOfEntries(table));
        }
        return facts.context(
                table.methods(), table.zones(), capacity.entriesWithinDrainTimeout(table.id()));
    }

    private Set<ZoneId> zonesOfEntries(ManagedTable table) {
        Set<ZoneId> zones = new TreeSet<>();
        for (NodeId node : table.current().entries().keySet()) {
            ListedNode known = nodes.get(node);
            if (known != null) {
                zones.add(facts.zone(known));
            }
        }
        return zones;
    }

    /**
     * Validates the desired weights of a table and records the result with the table.
     *
     * @param changes the changed weights, 0 for a removed entry
     */
    TableChangeValidator.ValidationResult validate(
            ManagedTable table,
            Map<NodeId, Double> changes,
            TableChangeValidator.ValidationContext context) {
        TableChangeValidator.ValidationResult result =
                validator.validate(
                        table.acceptedTotals(),
                        table.current().entries(),
                        table.desired(),
                        changes,
                        context);
        report(table, result.refusals());
        table.recordValidation(result.refusals());
        return result;
    }

    /**
     * Returns the weights that a table may retain, without the entries that must be removed and
     * with limited weights for nodes that are warming up, see {@link
     * TableChangeValidator#retainableEntries}.
     */
    Map<NodeId, Double> retain(
            Map<NodeId, Double> weights, TableChangeValidator.ValidationContext context) {
        return validator.retainableEntries(weights, context);
    }

    /** Returns the weights after one step from the committed weights towards the desired ones. */
    Map<NodeId, Double> stepTowardsDesired(
            ManagedTable table, TableChangeValidator.ValidationContext context) {
        return validator.stepTowards(table.current().entries(), table.desired(), context);
    }

    private void report(ManagedTable table, List<TableChangeValidator.Refusal> refusals) {
        if (reasons(refusals).equals(reasons(table.refusals()))) {
            return;
        }
        for (TableChangeValidator.Refusal refusal : refusals) {
            table.countRefusal(refusal.reason());
            modes.report(
                    "changes of table "
                            + table.id().value()
                            + " after version "
                            + table.current().number()
                            + " refused, "
                            + refusal.reason()
                            + ": "
                            + refusal.figures()
                            + " "
                            + names(refusal.nodes()));
        }
        if (refusals.isEmpty()) {
            modes.report("changes of table " + table.id().value() + " pass validation again");
        }
    }

    private static List<TableChangeValidator.Reason> reasons(
            List<TableChangeValidator.Refusal> refusals) {
        return refusals.stream().map(TableChangeValidator.Refusal::reason).toList();
    }

    private List<String> names(List<NodeId> ids) {
        return ids.stream()
                .limit(MAX_LOGGED_NODES)
                .map(node -> ListedNode.name(nodes, node))
                .toList();
    }
}
