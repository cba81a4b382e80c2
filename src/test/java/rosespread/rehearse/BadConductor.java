package rosespread.rehearse;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.Brain;
import rosespread.api.Feed;
import rosespread.api.KindId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.Observer;
import rosespread.api.Orders;
import rosespread.api.ProxyId;
import rosespread.api.Settings;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.channel.Frame;
import rosespread.conductor.Planner;
import rosespread.conductor.TurnOrders;
import rosespread.control.Daemon;
import rosespread.release.Gate;
import rosespread.settings.FleetSettings;

/**
 * A real conductor process round a planner that is wrong in one way, so that the auditor can be
 * seen to fail.
 */
public final class BadConductor {
    enum Fault {
        IGNORES_DRAINS,
        FLOODS_COLD,
        REPEATS,
        EMPTIES,
        FLOODS_CHANNEL,
        BAD_TABLES,
        BAD_MOVES,
        NONE
    }

    private BadConductor() {}

    /** Lets everything pass, so that the auditor and not the gate is what is tried. */
    private static final class OpenGate extends Gate {
        @Override
        public Verdict judge(Map<NodeId, Double> out, Map<NodeId, Double> wanted, Scene scene) {
            return new Verdict(wanted, List.of());
        }
    }

    /**
     * Arguments: the fault, "gated" if its tables are to be checked, then those of the conductor's
     * command.
     */
    public static void main(String[] args) throws Exception {
        Fault fault = Fault.valueOf(args[0]);
        Map<String, String> options = new TreeMap<>();
        boolean gated = args[1].equals("gated");
        for (int i = gated ? 3 : 2; i + 1 < args.length; i += 2) {
            options.put(args[i], args[i + 1]);
        }
        Daemon.run(
                options.get("--name"),
                Path.of(options.get("--state")),
                address(options.get("--listen")),
                address(options.get("--control")),
                (settings, seed) -> planner(fault, settings, seed),
                gated ? new Gate() : new OpenGate());
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static Planner planner(Fault fault, FleetSettings fleet, long seed) {
        Settings settings = fleet.module();
        Brain brain = new Brain(settings, new SplittableRandom(seed));
        Set<NodeId> started = new HashSet<>();
        Map<TableId, Set<NodeId>> lines = new TreeMap<>();
        long[] first = {Long.MIN_VALUE};
        boolean[] empty = {false};
        Wrongs wrongs = new Wrongs(fault);
        return (now, feed, out) -> {
            first[0] = first[0] == Long.MIN_VALUE ? now : first[0];
            boolean emptied = fault == Fault.EMPTIES && now - first[0] > 4_000_000_000L;
            Set<TableId> before = Set.copyOf(lines.keySet());
            Feed heard = ear -> feed.to(new Ears(ear, fault, started, wrongs, first[0]));
            brain.round(
                    now,
                    heard,
                    new Hands(out) {
                        @Override
                        public void line(TableId table, NodeId node, double weight) {
                            lines.computeIfAbsent(table, t -> new HashSet<>()).add(node);
                            wrongs.right
                                    .computeIfAbsent(table, t -> new TreeMap<>())
                                    .put(node, weight);
                            double changed =
                                    fault == Fault.FLOODS_COLD && started.contains(node)
                                            ? weight * 1000
                                            : weight;
                            if (!emptied) {
                                out.line(table, node, changed);
                            }
                        }
                    });
            for (Map.Entry<TableId, Set<NodeId>> table : lines.entrySet()) {
                if (fault == Fault.REPEATS && !before.contains(table.getKey())) {
                    for (int m = 0; m < settings.methods().size(); m++) {
                        out.furtherTries(new MethodId(m), Frame.Tries.AFTER_ANY_FAILURE);
                        out.level(table.getKey(), new MethodId(m), Double.POSITIVE_INFINITY);
                    }
                }
                if (emptied && !empty[0]
                        || fault == Fault.FLOODS_CHANNEL && now - first[0] > 4_000_000_000L) {
                    table.getValue()
                            .forEach(
                                    node ->
                                            out.line(
                                                    table.getKey(),
                                                    node,
                                                    emptied ? 0 : 1 + now % 1000 / 1e4));
                }
            }
            empty[0] |= emptied;
            if (fault == Fault.BAD_TABLES || fault == Fault.BAD_MOVES) {
                wrongs.play(now - first[0], lines, out);
            }
        };
    }

    /**
     * Again and again for 0.3 s another kind of wrong lines in all tables, then the right ones
     * again.
     */
    private static final class Wrongs {
        private static final long LASTS = 300_000_000L;

        /** A start is cause for large moves for 10 s. */
        private static final long AFTER_START = 12_000_000_000L;

        /** A start so long ago leaves a node cold. */
        private static final long COLD = 8_000_000_000L;

        final Map<TableId, Map<NodeId, Double>> right = new TreeMap<>();

        /** What the list tells; starts in nanoseconds since the planner's. */
        final Set<NodeId> draining = new TreeSet<>();

        final Map<NodeId, Long> started = new TreeMap<>();
        private final boolean moves;
        private final long every;
        private long played = -1;
        private boolean wrong;

        Wrongs(Fault fault) {
            moves = fault == Fault.BAD_MOVES;
            every = moves ? 2_000_000_000L : 700_000_000L;
        }

        void play(long since, Map<TableId, Set<NodeId>> lines, TurnOrders out) {
            long turn = since / every;
            if (since > (moves ? AFTER_START : 6 * every) && turn != played) {
                played = turn;
                wrong = true;
                int kind = moves ? 8 + (int) (turn % 2) : (int) (turn % 8);
                lines.forEach((table, nodes) -> wrong(since, table, nodes, kind, out));
                System.err.println("wrong lines of kind " + kind);
            } else if (wrong && since % every > LASTS) {
                wrong = false;
                right.forEach(
                        (table, weights) -> {
                            out.line(table, new NodeId(99), 0);
                            weights.forEach((node, weight) -> out.line(table, node, weight));
                        });
            }
        }

        private void wrong(long since, TableId table, Set<NodeId> nodes, int kind, TurnOrders out) {
            NodeId some = nodes.iterator().next();
            Map<NodeId, Double> now = right.get(table);
            switch (kind) {
                case 0 -> out.line(table, some, Double.NaN);
                case 1 -> out.line(table, some, Double.POSITIVE_INFINITY);
                case 2 -> out.line(table, new NodeId(99), 1);
                case 3 -> nodes.forEach(node -> out.line(table, node, 0));
                case 4 -> out.line(table, some, -3);
                case 5 -> {
                    out.line(table, some, 1e6);
                    out.line(table, new NodeId(99), 1e6);
                }
                case 6 -> draining.stream().findFirst().ifPresent(node -> out.line(table, node, 1));
                case 7 ->
                        started.entrySet().stream()
                                .filter(
                                        s ->
                                                since - s.getValue() < COLD
                                                        && !draining.contains(s.getKey()))
                                .findFirst()
                                .ifPresent(s -> out.line(table, s.getKey(), 50));
                // Nearly all weight to one node, by a change of one line.
                case 8 ->
                        now.entrySet().stream()
                                .filter(line -> line.getValue() > 0)
                                .findFirst()
                                .ifPresent(
                                        line ->
                                                out.line(
                                                        table,
                                                        line.getKey(),
                                                        500 * line.getValue()));
                // All lines at once, each by next to nothing.
                default -> now.forEach((node, weight) -> out.line(table, node, weight * 1.0001));
            }
        }
    }

    private static class Hands implements Orders {
        private final TurnOrders out;

        Hands(TurnOrders out) {
            this.out = out;
        }

        @Override
        public void line(TableId table, NodeId node, double weight) {
            out.line(table, node, weight);
        }

        @Override
        public void bind(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
            out.bind(proxy, methods, table);
        }

        @Override
        public void withdraw(NodeId node, boolean gone) {
            out.withdraw(node, gone);
        }

        @Override
        public void level(TableId table, MethodId method, double admitted) {
            out.level(table, method, admitted);
        }

        @Override
        public void mark(int mark) {
            out.mark(mark);
        }

        @Override
        public void probe(NodeId node) {
            out.probe(node);
        }

        @Override
        public void followList() {
            out.followList();
        }

        @Override
        public void wakeAfter(long nanos) {
            out.wakeAfter(nanos);
        }

        @Override
        public void log(String line) {
            out.log(line);
        }
    }

    /** Hears no drains if it is to ignore them; notes which nodes have started. */
    private record Ears(Observer to, Fault fault, Set<NodeId> started, Wrongs wrongs, long first)
            implements Observer {
        @Override
        public void listBegins(ListKind kind) {
            to.listBegins(fault == Fault.IGNORES_DRAINS ? ListKind.CHANGES : kind);
        }

        @Override
        public void node(
                NodeId node, KindId kind, ZoneId zone, double weight, NodeState state, long up) {
            if (up != Long.MIN_VALUE) {
                started.add(node);
                wrongs.started.put(node, up - first);
            }
            if (state == NodeState.READY) {
                wrongs.draining.remove(node);
            } else {
                wrongs.draining.add(node);
            }
            to.node(
                    node,
                    kind,
                    zone,
                    weight,
                    fault == Fault.IGNORES_DRAINS ? NodeState.READY : state,
                    fault == Fault.FLOODS_COLD ? Long.MIN_VALUE : up);
        }

        @Override
        public void listEnds() {
            to.listEnds();
        }

        @Override
        public void proxyJoined(ProxyId proxy, ZoneId zone, double rate) {
            to.proxyJoined(proxy, zone, rate);
        }

        @Override
        public void proxyLeft(ProxyId proxy) {
            to.proxyLeft(proxy);
        }

        @Override
        public void installed(ProxyId proxy, int mark, long took) {
            to.installed(proxy, mark, took);
        }

        @Override
        public void sums(
                NodeId node,
                ZoneId zone,
                int tries,
                int unanswered,
                double latency,
                long covers,
                double utilization) {
            to.sums(node, zone, tries, unanswered, latency, covers, utilization);
        }

        @Override
        public void offered(ProxyId proxy, MethodId method, int count, long covers) {
            to.offered(proxy, method, count, covers);
        }

        @Override
        public void probed(NodeId node, Verdict verdict) {
            to.probed(node, verdict);
        }

        @Override
        public void woke() {
            to.woke();
        }
    }
}
