package rosespread.scenario;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import rosespread.api.EventSource;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.controller.Policy;
import rosespread.controller.TableUpdateWriter;
import rosespread.policy.RoutingPolicy;

/** The routing policy, with one fault added to its events or actions. */
final class FaultyPolicy implements Policy {
    private static final long FAULT_DELAY_NANOS = 4_000_000_000L;
    private static final double OVERLOAD_FACTOR = 1000;

    private final FaultyController.Fault fault;
    private final PolicySettings settings;
    private final RoutingPolicy policy;
    private final NodeObservations nodes = new NodeObservations();
    private final WrongWeights wrongWeights;
    private final Map<TableId, Set<NodeId>> nodesByTable = new TreeMap<>();
    private long firstRoundNanos = Long.MIN_VALUE;
    private boolean emptied;

    FaultyPolicy(FaultyController.Fault fault, PolicySettings settings, long seed) {
        this.fault = fault;
        this.settings = settings;
        this.policy = new RoutingPolicy(settings, new SplittableRandom(seed));
        this.wrongWeights =
                new WrongWeights(fault == FaultyController.Fault.EXCESSIVE_CHANGES, nodes);
    }

    @Override
    public void round(long now, EventSource events, TableUpdateWriter out) {
        firstRoundNanos = firstRoundNanos == Long.MIN_VALUE ? now : firstRoundNanos;
        long sinceFirst = now - firstRoundNanos;
        boolean faultStarted = sinceFirst > FAULT_DELAY_NANOS;
        boolean emptiesTables = fault == FaultyController.Fault.EMPTIES_TABLES && faultStarted;
        Set<TableId> knownTables = Set.copyOf(nodesByTable.keySet());
        EventSource observed =
                handler ->
                        events.deliverTo(
                                new FaultyEventHandler(handler, fault, nodes, firstRoundNanos));
        policy.round(now, observed, new FaultyActions(out, emptiesTables));
        if (fault == FaultyController.Fault.ALLOWS_ALL_RETRIES) {
            allowAllRetries(knownTables, out);
        }
        if (emptiesTables && !emptied) {
            setAllWeights(0, out);
            emptied = true;
        }
        if (fault == FaultyController.Fault.FLOODS_CHANNEL && faultStarted) {
            setAllWeights(1 + now % 1000 / 1e4, out);
        }
        if (fault == FaultyController.Fault.INVALID_WEIGHTS
                || fault == FaultyController.Fault.EXCESSIVE_CHANGES) {
            wrongWeights.update(sinceFirst, nodesByTable, out);
        }
    }

    private void allowAllRetries(Set<TableId> knownTables, TableUpdateWriter out) {
        for (TableId table : nodesByTable.keySet()) {
            if (!knownTables.contains(table)) {
                for (int i = 0; i < settings.methods().size(); i++) {
                    MethodId method = new MethodId(i);
                    out.setRetryCondition(method, Frame.Tries.AFTER_ANY_FAILURE);
                    out.setAdmissionLimit(table, method, Double.POSITIVE_INFINITY);
                }
            }
        }
    }

    private void setAllWeights(double weight, TableUpdateWriter out) {
        nodesByTable.forEach(
                (table, members) -> members.forEach(node -> out.setWeight(table, node, weight)));
    }

    /** Forwards actions, with faulty weights. */
    private final class FaultyActions extends ForwardingActions {
        private final boolean dropsWeights;

        FaultyActions(TableUpdateWriter out, boolean dropsWeights) {
            super(out);
            this.dropsWeights = dropsWeights;
        }

        @Override
        public void setWeight(TableId table, NodeId node, double weight) {
            nodesByTable.computeIfAbsent(table, id -> new HashSet<>()).add(node);
            wrongWeights.recordCorrect(table, node, weight);
            boolean overloads =
                    fault == FaultyController.Fault.OVERLOADS_WARMING_NODES
                            && nodes.hasStarted(node);
            if (!dropsWeights) {
                super.setWeight(table, node, overloads ? weight * OVERLOAD_FACTOR : weight);
            }
        }
    }
}
