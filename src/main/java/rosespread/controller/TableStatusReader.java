package rosespread.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.discovery.ListedNode;
import rosespread.table.TableVersion;

/**
 * Reads the status of tables and versions for the control API, with nodes given by name. Called on
 * the event-loop thread. Results share no mutable state with the tables, so other threads may use
 * them.
 */
final class TableStatusReader {
    private final TableRegistry registry;
    private final Map<NodeId, ListedNode> nodes;

    TableStatusReader(TableRegistry registry, Map<NodeId, ListedNode> nodes) {
        this.registry = registry;
        this.nodes = nodes;
    }

    /** Returns all tables with their committed weights. */
    List<ControllerStatus.Table> readAll() {
        List<ControllerStatus.Table> tables = new ArrayList<>();
        registry.tables().forEach(table -> tables.add(status(table, table.current().entries())));
        return tables;
    }

    /**
     * Returns a table with its weights as they will be once all pending changes are sent; empty if
     * the table does not exist.
     */
    Optional<ControllerStatus.Table> read(TableId id) {
        return registry.existing(id).map(table -> status(table, table.weightsAfterPending()));
    }

    private ControllerStatus.Table status(ManagedTable table, Map<NodeId, Double> weights) {
        Map<String, Long> refusalCounts = new TreeMap<>();
        table.refusalCounts().forEach((reason, count) -> refusalCounts.put(reason.name(), count));
        return new ControllerStatus.Table(
                table.id().value(),
                table.current().number(),
                table.pin().name(),
                table.refusals().stream()
                        .map(refusal -> refusal.reason() + ": " + refusal.figures())
                        .toList(),
                refusalCounts,
                byName(weights),
                table.history().versions().stream().map(TableStatusReader::status).toList());
    }

    private static ControllerStatus.Version status(TableVersion version) {
        return new ControllerStatus.Version(
                version.number(),
                version.cause().name(),
                version.atMillis(),
                version.entries().size(),
                version.changes().size(),
                Long.toHexString(version.digest()));
    }

    private Map<String, Double> byName(Map<NodeId, Double> weights) {
        Map<String, Double> weightsByName = new TreeMap<>();
        weights.forEach((node, weight) -> weightsByName.put(ListedNode.name(nodes, node), weight));
        return weightsByName;
    }

    /**
     * Returns the changes from one retained version to another, in the order of node names; empty
     * if the table does not exist or one of the versions is not retained.
     */
    Optional<ControllerStatus.Difference> difference(TableId id, long from, long to) {
        return registry.existing(id).flatMap(table -> difference(table, from, to));
    }

    private Optional<ControllerStatus.Difference> difference(
            ManagedTable table, long from, long to) {
        Optional<Map<NodeId, Double>> changes = table.history().difference(from, to);
        if (changes.isEmpty()) {
            return Optional.empty();
        }
        Map<NodeId, Double> before = table.history().version(from).orElseThrow().entries();
        List<ControllerStatus.Changed> changedEntries = new ArrayList<>();
        changes.get()
                .forEach(
                        (node, weight) ->
                                changedEntries.add(
                                        new ControllerStatus.Changed(
                                                ListedNode.name(nodes, node),
                                                before.getOrDefault(node, 0.0),
                                                weight)));
        changedEntries.sort(Comparator.comparing(ControllerStatus.Changed::node));
        return Optional.of(
                new ControllerStatus.Difference(table.id().value(), from, to, changedEntries));
    }
}
