package rosespread.testbed;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.table.TableDigest;

/** What a plain proxy holds: tables, levels and withdrawals, and how it picks a line. */
final class ProxyTables {
    /** Where a node is and what the stand-ins call it. */
    record Place(String name, InetSocketAddress address) {}

    /**
     * A line and when, by its table's own clock, its next turn is due: a turn comes every 1 /
     * weight.
     */
    private static final class Row {
        final double weight;
        double due;

        Row(double weight, double due) {
            this.weight = weight;
            this.due = due;
        }
    }

    private static final class Table {
        final TreeMap<NodeId, Row> rows = new TreeMap<>();
        final Map<MethodId, Frame.Level> levels = new HashMap<>();
        double clock;
        long version;
    }

    private final Map<NodeId, Place> places = new HashMap<>();
    private final Map<MethodId, Table> byMethod = new HashMap<>();
    private final Map<TableId, Table> ofStream = new HashMap<>();

    /** The highest versions that any stream brought. */
    private final TreeMap<TableId, Long> highest = new TreeMap<>();

    private final Set<NodeId> withdrawn = new TreeSet<>();
    private final RandomGenerator random;

    ProxyTables(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Each proxy begins a line anywhere in its turn, and a new weight leaves it at the same part of
     * its turn, so that proxies that get the same change do not move in step.
     */
    private void put(Table table, NodeId id, double weight) {
        Row before = table.rows.get(id);
        double left =
                before == null
                        ? random.nextDouble() / weight
                        : Math.max(0, before.due - table.clock) * before.weight / weight;
        table.rows.put(id, new Row(weight, table.clock + left));
    }

    /** A standing table that a method starts with. */
    void standing(MethodId method, Map<NodeId, Place> nodes) {
        Table table = new Table();
        nodes.forEach(
                (id, place) -> {
                    places.put(id, place);
                    put(table, id, 1);
                });
        byMethod.put(method, table);
    }

    /** A new stream: what is held stays, but its tables are not this conductor's. */
    void streamBegins() {
        ofStream.clear();
    }

    void named(NodeId id, Place place) {
        places.put(id, place);
    }

    /** Takes a message up as a whole; returns its lines. */
    int apply(List<Frame> message, List<Frame> answers) {
        int lines = 0;
        if (message.stream().anyMatch(frame -> frame instanceof Frame.Bind)) {
            withdrawn.clear();
        }
        for (Frame frame : message) {
            if (frame instanceof Frame.Bind bind) {
                Table table = new Table();
                bind.lines().forEach(line -> put(table, line.node(), line.weight()));
                bind.levels().forEach(level -> table.levels.put(level.method(), level));
                bind.methods().forEach(method -> byMethod.put(method, table));
                table.version = bind.version();
                highest.merge(bind.table(), table.version, Math::max);
                ofStream.put(bind.table(), table);
                if (digest(table) != bind.digest()) {
                    answers.add(new Frame.Missed(bind.table(), table.version));
                }
                lines += bind.lines().size();
            } else if (frame instanceof Frame.Lines change
                    && ofStream.containsKey(change.table())) {
                Table table = ofStream.get(change.table());
                boolean follows = table.version == change.from();
                // A delta that does not follow may still take nodes out: that can only keep a
                // drain.
                for (Frame.Line line : change.lines()) {
                    if (line.weight() == 0) {
                        table.rows.remove(line.node());
                    } else if (follows) {
                        put(table, line.node(), line.weight());
                    }
                }
                lines += change.lines().size();
                table.version = follows ? change.to() : table.version;
                highest.merge(change.table(), table.version, Math::max);
                if (!follows || digest(table) != change.digest()) {
                    answers.add(new Frame.Missed(change.table(), table.version));
                }
            } else if (frame instanceof Frame.Levels change
                    && ofStream.containsKey(change.table())) {
                change.levels()
                        .forEach(
                                level ->
                                        ofStream.get(change.table())
                                                .levels
                                                .put(level.method(), level));
            } else if (frame instanceof Frame.Withdraw withdraw) {
                if (withdraw.out()) {
                    withdrawn.add(withdraw.node());
                } else {
                    withdrawn.remove(withdraw.node());
                }
            }
        }
        return lines;
    }

    boolean holds(TableId id) {
        return ofStream.containsKey(id);
    }

    List<Frame.Holding> held() {
        return highest.entrySet().stream()
                .map(e -> new Frame.Holding(e.getKey(), e.getValue()))
                .toList();
    }

    /** A table of this stream, by the nodes' names. */
    TrafficRecorder.TableSnapshot held(TableId id) {
        Map<String, Double> lines = new TreeMap<>();
        ofStream.get(id)
                .rows
                .forEach(
                        (node, row) ->
                                lines.put(
                                        places.containsKey(node)
                                                ? places.get(node).name()
                                                : Long.toHexString(node.value()),
                                        row.weight));
        return new TrafficRecorder.TableSnapshot(
                id.value(), ofStream.get(id).version, digest(ofStream.get(id)), lines);
    }

    private static long digest(Table table) {
        long sum = 0;
        for (Map.Entry<NodeId, Row> line : table.rows.entrySet()) {
            sum += TableDigest.of(line.getKey(), line.getValue().weight);
        }
        return sum;
    }

    boolean pickable(MethodId method) {
        Table table = byMethod.get(method);
        return table != null
                && table.rows.keySet().stream()
                        .anyMatch(id -> !withdrawn.contains(id) && places.containsKey(id));
    }

    Frame.Level level(MethodId method) {
        Table table = byMethod.get(method);
        return table == null ? null : table.levels.get(method);
    }

    Place place(NodeId id) {
        return places.get(id);
    }

    /** Picks a line that is not withdrawn, nor among the avoided as long as there are others. */
    NodeId pick(
            MethodId method,
            SiteDefinition.Pick way,
            Set<NodeId> avoided,
            Map<NodeId, Integer> out) {
        Table table = byMethod.get(method);
        if (table == null) {
            return null;
        }
        List<NodeId> open = new ArrayList<>(table.rows.keySet());
        open.removeIf(id -> withdrawn.contains(id) || !places.containsKey(id));
        List<NodeId> preferred = new ArrayList<>(open);
        preferred.removeAll(avoided);
        List<NodeId> among = preferred.isEmpty() ? open : preferred;
        if (among.isEmpty()) {
            return null;
        }
        return switch (way) {
            case ROUND -> round(table, among);
            case RANDOM -> drawn(table, among);
            case BEST_OF_TWO -> {
                NodeId one = drawn(table, among);
                NodeId two = drawn(table, among);
                yield out.getOrDefault(two, 0) < out.getOrDefault(one, 0) ? two : one;
            }
        };
    }

    /** The line whose turn is due first. One that was kept out meanwhile begins its turn anew. */
    private NodeId round(Table table, List<NodeId> among) {
        NodeId best = null;
        for (NodeId id : among) {
            Row row = table.rows.get(id);
            if (row.due < table.clock) {
                row.due = table.clock + random.nextDouble() / row.weight;
            }
            best = best == null || row.due < table.rows.get(best).due ? id : best;
        }
        Row row = table.rows.get(best);
        table.clock = row.due;
        row.due += 1 / row.weight;
        return best;
    }

    private NodeId drawn(Table table, List<NodeId> among) {
        double sum = among.stream().mapToDouble(id -> table.rows.get(id).weight).sum();
        double at = random.nextDouble() * sum;
        for (NodeId id : among) {
            at -= table.rows.get(id).weight;
            if (at < 0) {
                return id;
            }
        }
        return among.get(among.size() - 1);
    }
}
