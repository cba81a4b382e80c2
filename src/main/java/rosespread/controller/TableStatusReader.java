package rosespread.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.controller.TableRegistry.Table;
import rosespread.discovery.ListedNode;

/** Tables and versions by the nodes' names, for those who look from outside. */
final class TableStatusReader {
    private final TableRegistry book;
    private final Map<NodeId, ListedNode> nodes;

    TableStatusReader(TableRegistry book, Map<NodeId, ListedNode> nodes) {
        this.book = book;
        this.nodes = nodes;
    }

    /** All tables with their versions, for the state. */
    List<ControllerStatus.Table> all() {
        List<ControllerStatus.Table> all = new ArrayList<>();
        book.tables().forEach(table -> all.add(view(table, table.out().lines())));
        return all;
    }

    /** One table as it will be once what it has to send has left. */
    Optional<ControllerStatus.Table> one(TableId id) {
        return Optional.ofNullable(book.existing(id))
                .map(
                        table -> {
                            Map<NodeId, Double> lines = new TreeMap<>(table.out().lines());
                            table.pending.forEach(
                                    (node, weight) -> {
                                        if (weight > 0) {
                                            lines.put(node, weight);
                                        } else {
                                            lines.remove(node);
                                        }
                                    });
                            return view(table, lines);
                        });
    }

    private ControllerStatus.Table view(Table table, Map<NodeId, Double> lines) {
        List<ControllerStatus.Version> versions =
                table.history.versions().stream()
                        .map(
                                v ->
                                        new ControllerStatus.Version(
                                                v.number(),
                                                v.cause().name(),
                                                v.atMillis(),
                                                v.lines().size(),
                                                v.changes().size(),
                                                Long.toHexString(v.digest())))
                        .toList();
        Map<String, Long> refused = new TreeMap<>();
        table.refused.forEach((reason, count) -> refused.put(reason.name(), count));
        return new ControllerStatus.Table(
                table.id.value(),
                table.out().number(),
                table.hold.name(),
                table.refusals.stream().map(r -> r.reason() + ": " + r.figures()).toList(),
                refused,
                named(lines),
                versions);
    }

    private Map<String, Double> named(Map<NodeId, Double> lines) {
        Map<String, Double> named = new TreeMap<>();
        lines.forEach((node, weight) -> named.put(ListedNode.name(nodes, node), weight));
        return named;
    }

    /**
     * What changes from one kept version to another, by the nodes' names; nothing if one is not
     * kept.
     */
    Optional<ControllerStatus.Difference> difference(TableId id, long from, long to) {
        Table table = book.existing(id);
        return table == null
                ? Optional.empty()
                : table.history
                        .difference(from, to)
                        .map(
                                changes -> {
                                    Map<NodeId, Double> before =
                                            table.history.version(from).orElseThrow().lines();
                                    List<ControllerStatus.Changed> all = new ArrayList<>();
                                    changes.forEach(
                                            (node, weight) ->
                                                    all.add(
                                                            new ControllerStatus.Changed(
                                                                    ListedNode.name(nodes, node),
                                                                    before.getOrDefault(node, 0.0),
                                                                    weight)));
                                    all.sort(Comparator.comparing(ControllerStatus.Changed::node));
                                    return new ControllerStatus.Difference(
                                            id.value(), from, to, all);
                                });
    }
}
