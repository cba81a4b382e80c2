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
 * Brings the {@link TableChangeValidator} and what it has to know of a table together, and reports
 * refusals as they begin, change and end.
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

    /** Returns what is known now of the nodes and of the channel, as this table needs it. */
    TableChangeValidator.ValidationContext context(ManagedTable table) {
        if (table.zones().isEmpty()) {
            table.restoreZones(zonesOfEntries(table));
        }
        return facts.context(
                table.methods(), table.zones(), capacity.entriesWithinGrace(table.id()));
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

    /** Validates the desired weights of a table and records the answer with it. */
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

    /** Returns weights less the entries that may not stay, warming nodes held to their bound. */
    Map<NodeId, Double> retain(
            Map<NodeId, Double> weights, TableChangeValidator.ValidationContext context) {
        return validator.retainableEntries(weights, context);
    }

    /** Returns the weights one step from the committed ones towards the desired ones. */
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
                    "table "
                            + table.id().value()
                            + " after version "
                            + table.current().number()
                            + " refused, "
                            + refusal.reason()
                            + ": "
                            + refusal.figures()
                            + " "
                            + names(refusal.lines()));
        }
        if (refusals.isEmpty()) {
            modes.report("table " + table.id().value() + " passes its checks again");
        }
    }

    private static List<TableChangeValidator.Reason> reasons(
            List<TableChangeValidator.Refusal> refusals) {
        return refusals.stream().map(TableChangeValidator.Refusal::reason).toList();
    }

    private List<String> names(List<NodeId> refused) {
        return refused.stream()
                .limit(MAX_LOGGED_NODES)
                .map(node -> ListedNode.name(nodes, node))
                .toList();
    }
}
