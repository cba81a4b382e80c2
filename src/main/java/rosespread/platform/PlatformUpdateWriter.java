package rosespread.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;

/**
 * Turns a round's orders into one message for each proxy concerned. Pure: it knows the tables as
 * ordered, who is bound to what, and whom a node may be shut out at. The platform has no tables of
 * ours: what a proxy holds is written to it for the methods concerned, with changes against what
 * was last written on its stream.
 */
final class PlatformUpdateWriter implements PolicyActions {
    /** What the module asks for besides messages. */
    interface PolicyRequests {
        void checkHealth(NodeId node);

        void watchNodes();

        void startTimer(long nanos);

        void log(String line);
    }

    /** Takes a proxy's message of the round; {@code mark} is negative if none was ordered. */
    @FunctionalInterface
    interface UpdateSink {
        void send(ProxyId proxy, List<UpdatePart> parts, int mark);
    }

    private static final class Table {
        final Map<NodeId, Double> lines = new TreeMap<>();
        final Map<MethodId, Double> levels = new TreeMap<>();
        final Map<NodeId, Double> changed = new TreeMap<>();
        final Map<MethodId, Double> changedLevels = new TreeMap<>();
    }

    private static final class Held {
        final Map<TableId, List<MethodId>> bound = new TreeMap<>();
        final TreeSet<TableId> whole = new TreeSet<>();

        /**
         * Nodes that were shut out on this stream; and those that surely are not, from whenever.
         */
        final TreeSet<NodeId> out = new TreeSet<>();

        final TreeSet<NodeId> in = new TreeSet<>();
    }

    private final int methods;
    private final Predicate<NodeId> restless;
    private final PolicyRequests besides;
    private final Map<TableId, Table> tables = new TreeMap<>();
    private final Map<ProxyId, Held> proxies = new TreeMap<>();
    private final Map<NodeId, Boolean> shut = new LinkedHashMap<>();
    private final TreeSet<NodeId> excludedNodes = new TreeSet<>();
    private int mark = -1;

    /**
     * @param methods how many there are
     * @param restless whether a node ever left or started anew, so that some conductor may have
     *     shut it out
     */
    PlatformUpdateWriter(int methods, Predicate<NodeId> restless, PolicyRequests besides) {
        this.methods = methods;
        this.restless = restless;
        this.besides = besides;
    }

    /** A stream begins: whatever the proxy holds, it is bound to no table here. */
    void proxyJoined(ProxyId proxy) {
        proxies.put(proxy, new Held());
    }

    void proxyLeft(ProxyId proxy) {
        proxies.remove(proxy);
    }

    int subscribedProxies() {
        return (int) proxies.values().stream().filter(held -> !held.bound.isEmpty()).count();
    }

    /** A node's weight in the first table that names it, 0 if none does. */
    double weightOf(NodeId node) {
        return tables.values().stream()
                .filter(table -> table.lines.containsKey(node))
                .mapToDouble(table -> table.lines.get(node))
                .findFirst()
                .orElse(0);
    }

    int excludedNodes() {
        return excludedNodes.size();
    }

    @Override
    public void setWeight(TableId table, NodeId node, double weight) {
        Table of = table(table);
        if (weight > 0) {
            of.lines.put(node, weight);
        } else {
            of.lines.remove(node);
        }
        of.changed.put(node, weight);
    }

    @Override
    public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
        Held held = proxies.get(proxy);
        if (held == null) {
            return;
        }
        List<MethodId> all = new ArrayList<>();
        methods.forEach(all::add);
        held.bound.replaceAll(
                (other, bound) -> bound.stream().filter(m -> !all.contains(m)).toList());
        held.bound.values().removeIf(List::isEmpty);
        held.bound.put(table, List.copyOf(all));
        held.whole.add(table);
    }

    @Override
    public void setExcluded(NodeId node, boolean out) {
        shut.put(node, out);
        if (out) {
            excludedNodes.add(node);
        } else {
            excludedNodes.remove(node);
        }
    }

    @Override
    public void setAdmissionLimit(TableId table, MethodId method, double admitted) {
        Table of = table(table);
        of.levels.put(method, admitted);
        of.changedLevels.put(method, admitted);
    }

    @Override
    public void requestAcknowledgement(int mark) {
        this.mark = mark;
    }

    @Override
    public void checkHealth(NodeId node) {
        besides.checkHealth(node);
    }

    @Override
    public void watchNodes() {
        besides.watchNodes();
    }

    @Override
    public void startTimer(long nanos) {
        besides.startTimer(nanos);
    }

    @Override
    public void log(String line) {
        besides.log(line);
    }

    private Table table(TableId id) {
        return tables.computeIfAbsent(id, fresh -> new Table());
    }

    /**
     * Ends the round: hands out each proxy's message, and forgets what was particular to the round.
     */
    void finishRound(UpdateSink sink) {
        Map<List<MethodId>, Map<TableId, List<UpdatePart>>> changes = new LinkedHashMap<>();
        proxies.forEach(
                (proxy, held) -> {
                    List<UpdatePart> parts = new ArrayList<>();
                    held.bound.forEach(
                            (id, bound) -> {
                                if (held.whole.contains(id)) {
                                    parts.addAll(whole(table(id), bound));
                                } else {
                                    parts.addAll(
                                            changes.computeIfAbsent(bound, b -> new TreeMap<>())
                                                    .computeIfAbsent(
                                                            id, t -> changed(table(id), bound)));
                                }
                            });
                    UpdatePart shutting = shutting(held);
                    if (shutting != null) {
                        parts.add(shutting);
                    }
                    held.whole.clear();
                    if (!parts.isEmpty()) {
                        sink.send(proxy, parts, mark);
                    }
                });
        tables.values()
                .forEach(
                        table -> {
                            table.changed.clear();
                            table.changedLevels.clear();
                        });
        shut.clear();
        mark = -1;
    }

    private List<UpdatePart> whole(Table table, List<MethodId> bound) {
        return parts(true, table.lines, table.levels, bound);
    }

    private List<UpdatePart> changed(Table table, List<MethodId> bound) {
        return parts(false, table.changed, table.changedLevels, bound);
    }

    /**
     * Lines first; a level that all share goes with them, others follow, as a whole table forgets
     * levels.
     */
    private List<UpdatePart> parts(
            boolean whole,
            Map<NodeId, Double> lines,
            Map<MethodId, Double> levels,
            List<MethodId> bound) {
        Map<Double, List<MethodId>> byLevel = new LinkedHashMap<>();
        for (MethodId method : bound) {
            Double level = levels.get(method);
            if (level != null && !(whole && Double.isInfinite(level))) {
                byLevel.computeIfAbsent(level, l -> new ArrayList<>()).add(method);
            }
        }
        List<UpdatePart> parts = new ArrayList<>();
        boolean shared =
                byLevel.size() == 1 && byLevel.values().iterator().next().size() == bound.size();
        if (whole || !lines.isEmpty() || shared) {
            parts.add(
                    new UpdatePart(
                            named(bound),
                            whole,
                            new TreeMap<>(lines),
                            shared ? byLevel.keySet().iterator().next() : Double.NaN,
                            List.of(),
                            List.of()));
        }
        if (!shared) {
            byLevel.forEach(
                    (level, of) ->
                            parts.add(
                                    new UpdatePart(
                                            named(of), false, Map.of(), level, List.of(),
                                            List.of())));
        }
        return parts;
    }

    /** All methods are told by naming none. */
    private List<MethodId> named(List<MethodId> some) {
        return some.size() == methods ? List.of() : List.copyOf(some);
    }

    /**
     * Who hears of nodes shut out: a bound proxy whose tables name the node, and each that is not
     * bound yet, as it may hold it. Let back are all that were told, and those whose table names
     * the node by now: a proxy brings what another conductor shut out there, which can only be
     * nodes that left or started anew.
     */
    private UpdatePart shutting(Held held) {
        List<NodeId> out = new ArrayList<>();
        List<NodeId> back = new ArrayList<>();
        shut.forEach(
                (node, isOut) -> {
                    if (isOut
                            && (held.bound.isEmpty() || names(held, node))
                            && held.out.add(node)) {
                        out.add(node);
                        held.in.remove(node);
                    } else if (!isOut && held.out.contains(node)) {
                        back.add(node);
                        held.out.remove(node);
                        held.in.add(node);
                    }
                });
        for (Map.Entry<TableId, List<MethodId>> bound : held.bound.entrySet()) {
            Table table = table(bound.getKey());
            for (NodeId node :
                    held.whole.contains(bound.getKey())
                            ? table.lines.keySet()
                            : table.changed.keySet()) {
                boolean maybe =
                        held.out.contains(node) || restless.test(node) && !held.in.contains(node);
                if (table.lines.containsKey(node) && maybe && !excludedNodes.contains(node)) {
                    back.add(node);
                    held.out.remove(node);
                    held.in.add(node);
                }
            }
        }
        return out.isEmpty() && back.isEmpty()
                ? null
                : UpdatePart.ofExclusions(List.copyOf(out), List.copyOf(back));
    }

    private boolean names(Held held, NodeId node) {
        return held.bound.keySet().stream().anyMatch(id -> table(id).lines.containsKey(node));
    }
}
