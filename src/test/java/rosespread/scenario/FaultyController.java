package rosespread.scenario;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.admin.Daemon;
import rosespread.api.EventHandler;
import rosespread.api.EventSource;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.channel.Frame;
import rosespread.controller.Policy;
import rosespread.controller.TableUpdateWriter;
import rosespread.policy.RoutingPolicy;
import rosespread.settings.FleetSettings;
import rosespread.validation.TableChangeValidator;

/**
 * A real conductor process round a planner that is wrong in one way, so that the auditor can be
 * seen to fail.
 */
public final class FaultyController {
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

    private FaultyController() {}

    /** Lets everything pass, so that the auditor and not the gate is what is tried. */
    private static final class OpenGate extends TableChangeValidator {
        @Override
        public ValidationResult validate(
                Map<NodeId, Double> out, Map<NodeId, Double> wanted, ValidationContext scene) {
            return new ValidationResult(wanted, List.of());
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
                gated ? new TableChangeValidator() : new OpenGate());
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    private static Policy planner(Fault fault, FleetSettings fleet, long seed) {
        PolicySettings settings = fleet.policySettings();
        RoutingPolicy brain = new RoutingPolicy(settings, new SplittableRandom(seed));
        Set<NodeId> started = new HashSet<>();
        Map<TableId, Set<NodeId>> lines = new TreeMap<>();
        long[] first = {Long.MIN_VALUE};
        boolean[] empty = {false};
        Wrongs wrongs = new Wrongs(fault);
        return (now, feed, out) -> {
            first[0] = first[0] == Long.MIN_VALUE ? now : first[0];
            boolean emptied = fault == Fault.EMPTIES && now - first[0] > 4_000_000_000L;
            Set<TableId> before = Set.copyOf(lines.keySet());
            EventSource heard =
                    ear -> feed.deliverTo(new Ears(ear, fault, started, wrongs, first[0]));
            brain.round(
                    now,
                    heard,
                    new Hands(out) {
                        @Override
                        public void setWeight(TableId table, NodeId node, double weight) {
                            lines.computeIfAbsent(table, t -> new HashSet<>()).add(node);
                            wrongs.right
                                    .computeIfAbsent(table, t -> new TreeMap<>())
                                    .put(node, weight);
                            double changed =
                                    fault == Fault.FLOODS_COLD && started.contains(node)
                                            ? weight * 1000
                                            : weight;
                            if (!emptied) {
                                out.setWeight(table, node, changed);
                            }
                        }
                    });
            for (Map.Entry<TableId, Set<NodeId>> table : lines.entrySet()) {
                if (fault == Fault.REPEATS && !before.contains(table.getKey())) {
                    for (int m = 0; m < settings.methods().size(); m++) {
                        out.furtherTries(new MethodId(m), Frame.Tries.AFTER_ANY_FAILURE);
                        out.setAdmissionLimit(
                                table.getKey(), new MethodId(m), Double.POSITIVE_INFINITY);
                    }
                }
                if (emptied && !empty[0]
                        || fault == Fault.FLOODS_CHANNEL && now - first[0] > 4_000_000_000L) {
                    table.getValue()
                            .forEach(
                                    node ->
                                            out.setWeight(
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

        void play(long since, Map<TableId, Set<NodeId>> lines, TableUpdateWriter out) {
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
                            out.setWeight(table, new NodeId(99), 0);
                            weights.forEach((node, weight) -> out.setWeight(table, node, weight));
                        });
            }
        }

        private void wrong(
                long since, TableId table, Set<NodeId> nodes, int kind, TableUpdateWriter out) {
            NodeId some = nodes.iterator().next();
            Map<NodeId, Double> now = right.get(table);
            switch (kind) {
                case 0 -> out.setWeight(table, some, Double.NaN);
                case 1 -> out.setWeight(table, some, Double.POSITIVE_INFINITY);
                case 2 -> out.setWeight(table, new NodeId(99), 1);
                case 3 -> nodes.forEach(node -> out.setWeight(table, node, 0));
                case 4 -> out.setWeight(table, some, -3);
                case 5 -> {
                    out.setWeight(table, some, 1e6);
                    out.setWeight(table, new NodeId(99), 1e6);
                }
                case 6 ->
                        draining.stream()
                                .findFirst()
                                .ifPresent(node -> out.setWeight(table, node, 1));
                case 7 ->
                        started.entrySet().stream()
                                .filter(
                                        s ->
                                                since - s.getValue() < COLD
                                                        && !draining.contains(s.getKey()))
                                .findFirst()
                                .ifPresent(s -> out.setWeight(table, s.getKey(), 50));
                // Nearly all weight to one node, by a change of one line.
                case 8 ->
                        now.entrySet().stream()
                                .filter(line -> line.getValue() > 0)
                                .findFirst()
                                .ifPresent(
                                        line ->
                                                out.setWeight(
                                                        table,
                                                        line.getKey(),
                                                        500 * line.getValue()));
                // All lines at once, each by next to nothing.
                default ->
                        now.forEach((node, weight) -> out.setWeight(table, node, weight * 1.0001));
            }
        }
    }

    private static class Hands implements PolicyActions {
        private final TableUpdateWriter out;

        Hands(TableUpdateWriter out) {
            this.out = out;
        }

        @Override
        public void setWeight(TableId table, NodeId node, double weight) {
            out.setWeight(table, node, weight);
        }

        @Override
        public void subscribe(ProxyId proxy, Iterable<MethodId> methods, TableId table) {
            out.subscribe(proxy, methods, table);
        }

        @Override
        public void setExcluded(NodeId node, boolean gone) {
            out.setExcluded(node, gone);
        }

        @Override
        public void setAdmissionLimit(TableId table, MethodId method, double admitted) {
            out.setAdmissionLimit(table, method, admitted);
        }

        @Override
        public void requestAcknowledgement(int mark) {
            out.requestAcknowledgement(mark);
        }

        @Override
        public void checkHealth(NodeId node) {
            out.checkHealth(node);
        }

        @Override
        public void watchNodes() {
            out.watchNodes();
        }

        @Override
        public void startTimer(long nanos) {
            out.startTimer(nanos);
        }

        @Override
        public void log(String line) {
            out.log(line);
        }
    }

    /** Hears no drains if it is to ignore them; notes which nodes have started. */
    private record Ears(
            EventHandler to, Fault fault, Set<NodeId> started, Wrongs wrongs, long first)
            implements EventHandler {
        @Override
        public void listStarted(NodeListKind kind) {
            to.listStarted(fault == Fault.IGNORES_DRAINS ? NodeListKind.INCREMENTAL : kind);
        }

        @Override
        public void nodeListed(
                NodeId node,
                MachineTypeId kind,
                ZoneId zone,
                double weight,
                NodeState state,
                long up) {
            if (up != Long.MIN_VALUE) {
                started.add(node);
                wrongs.started.put(node, up - first);
            }
            if (state == NodeState.READY) {
                wrongs.draining.remove(node);
            } else {
                wrongs.draining.add(node);
            }
            to.nodeListed(
                    node,
                    kind,
                    zone,
                    weight,
                    fault == Fault.IGNORES_DRAINS ? NodeState.READY : state,
                    fault == Fault.FLOODS_COLD ? Long.MIN_VALUE : up);
        }

        @Override
        public void listCompleted() {
            to.listCompleted();
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
        public void acknowledged(ProxyId proxy, int mark, long took) {
            to.acknowledged(proxy, mark, took);
        }

        @Override
        public void loadReported(
                NodeId node,
                ZoneId zone,
                int tries,
                int unanswered,
                double latency,
                long covers,
                double utilization) {
            to.loadReported(node, zone, tries, unanswered, latency, covers, utilization);
        }

        @Override
        public void demandReported(ProxyId proxy, MethodId method, int count, long covers) {
            to.demandReported(proxy, method, count, covers);
        }

        @Override
        public void healthChecked(NodeId node, HealthCheckResult verdict) {
            to.healthChecked(node, verdict);
        }

        @Override
        public void timerFired() {
            to.timerFired();
        }
    }
}
