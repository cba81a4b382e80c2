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
 * Describes tables and versions for the control API, with nodes by their names. Called on the
 * event-loop thread; what it returns shares nothing with the tables.
 */
final class TableStatusReader {
    private final TableRegistry registry;
    private final Map<NodeId, ListedNode> nodes;

    TableStatusReader(TableRegistry registry, Map<NodeId, ListedNode> nodes) {
        this.registry = registry;
        this.nodes = nodes;
    }

    /** Returns all tables with the weights that are committed. */
    List<ControllerStatus.Table> all() {
        List<ControllerStatus.Table> all = new ArrayList<>();
        registry.tables().forEach(table -> all.add(status(table, table.current().entries())));
        return all;
    }

    /** Returns one table with the weights as they will be once its pending changes are sent. */
    Optional<ControllerStatus.Table> one(TableId id) {
        return registry.existing(id).map(table -> status(table, table.weightsAfterPending()));
    }

    private ControllerStatus.Table status(ManagedTable table, Map<NodeId, Double> weights) {
        Map<String, Long> refused = new TreeMap<>();
        table.refusalCounts().forEach((reason, count) -> refused.put(reason.name(), count));
        return new ControllerStatus.Table(
                table.id().value(),
                table.current().number(),
                table.pin().name(),
                table.refusals().stream().map(r -> r.reason() + ": " + r.figures()).toList(),
                refused,
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
        Map<String, Double> named = new TreeMap<>();
        weights.forEach((node, weight) -> named.put(ListedNode.name(nodes, node), weight));
        return named;
    }

    /**
     * Returns what changes from one retained version to another, in the order of the nodes' names;
     * empty if there is no such table or one of the versions is not retained.
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
        List<ControllerStatus.Changed> all = new ArrayList<>();
        changes.get()
                .forEach(
                        (node, weight) ->
                                all.add(
                                        new ControllerStatus.Changed(
                                                ListedNode.name(nodes, node),
                                                before.getOrDefault(node, 0.0),
                                                weight)));
        all.sort(Comparator.comparing(ControllerStatus.Changed::node));
        return Optional.of(new ControllerStatus.Difference(table.id().value(), from, to, all));
    }
}
