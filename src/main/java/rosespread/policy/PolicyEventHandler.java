package rosespread.policy;

import java.util.Set;
import java.util.TreeSet;
import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.policy.state.Node;
import rosespread.policy.state.NodeRegistry;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;

/** Applies received events to the policy's state; drops events of unknown nodes and proxies. */
final class PolicyEventHandler {
    private final NodeRegistry nodes;
    private final ProxyRegistry proxies;
    private final ShardAssigner assigner;
    private final EligibleNodes eligible;
    private final SlowStart slowStart;
    private final CapacityUnits units;
    private final ReportWindows windows;
    private final HealthCheckScheduler healthChecks;
    private final AcknowledgementTracker acknowledgements;
    private final RoundTriggers triggers;

    PolicyEventHandler(
            NodeRegistry nodes,
            ProxyRegistry proxies,
            ShardAssigner assigner,
            EligibleNodes eligible,
            SlowStart slowStart,
            CapacityUnits units,
            ReportWindows windows,
            HealthCheckScheduler healthChecks,
            AcknowledgementTracker acknowledgements,
            RoundTriggers triggers) {
        this.nodes = nodes;
        this.proxies = proxies;
        this.assigner = assigner;
        this.eligible = eligible;
        this.slowStart = slowStart;
        this.units = units;
        this.windows = windows;
        this.healthChecks = healthChecks;
        this.acknowledgements = acknowledgements;
        this.triggers = triggers;
    }

    /**
     * Creates a handler for the events of one round.
     *
     * @param now clock reading in nanoseconds, at which all these events count as received
     */
    EventHandler forRound(long now) {
        return new RoundEvents(now);
    }

    private final class RoundEvents implements EventHandler {
        private final long now;
        private final Set<NodeId> listedNodes = new TreeSet<>();
        private NodeListKind listKind;

        RoundEvents(long now) {
            this.now = now;
        }

        @Override
        public void listStarted(NodeListKind kind) {
            listKind = kind;
            listedNodes.clear();
        }

        @Override
        public void nodeListed(
                NodeId id,
                MachineTypeId machineType,
                ZoneId zone,
                double weight,
                NodeState state,
                long startedAt) {
            listedNodes.add(id);
            Node node = findOrAdd(id, machineType);
            node.setListedAttributes(machineType, zone, weight);
            node.setState(state, now);
            if (startedAt > node.startedAt()) {
                node.restart(startedAt, OutlierDetector.HEALTH_WINDOW_NANOS);
            }
            eligible.invalidate();
        }

        private Node findOrAdd(NodeId id, MachineTypeId machineType) {
            Node node = nodes.find(id);
            if (node == null) {
                node = new Node(id, OutlierDetector.HEALTH_WINDOW_NANOS);
                if (units.known()) {
                    node.adjustCapacity(units.unit(machineType) / units.unit());
                }
                nodes.add(node);
            }
            return node;
        }

        @Override
        public void listCompleted() {
            triggers.requirePlan();
            if (listKind == NodeListKind.FULL || listKind == NodeListKind.CACHED) {
                nodes.all().stream()
                        .filter(node -> !listedNodes.contains(node.id()))
                        .forEach(node -> node.setState(NodeState.GONE, now));
            }
            if (listKind == NodeListKind.UNAVAILABLE) {
                triggers.nodeListLost();
            }
            eligible.invalidate();
        }

        @Override
        public void proxyJoined(ProxyId id, ZoneId zone, double usualRate) {
            proxyLeft(id);
            proxies.add(
                    new Proxy(id, zone, usualRate, assigner.shardToJoin(shard -> true, now), now));
        }

        @Override
        public void proxyLeft(ProxyId id) {
            Proxy proxy = proxies.remove(id);
            if (proxy != null) {
                proxy.leave();
                acknowledgements.forget(id);
            }
        }

        @Override
        public void acknowledged(ProxyId id, int token, long latencyNanos) {
            acknowledgements.acknowledged(id, token, latencyNanos, now);
        }

        @Override
        public void loadReported(
                NodeId id,
                ZoneId proxyZone,
                int attempts,
                int failures,
                double latency,
                long coveredNanos,
                double utilization) {
            windows.reportReceived(now, coveredNanos);
            Node node = nodes.find(id);
            if (node == null) {
                return;
            }
            node.addAttempts(now, attempts, failures);
            if (attempts > failures) {
                node.markAnswered(now);
            }
            double seconds = TimeUnits.seconds(coveredNanos);
            windows.addDemand(node.attemptedRate(proxyZone), now, attempts, seconds);
            if (!slowStart.warmingUp(node, now)) {
                int answers = attempts - failures;
                windows.addLoad(node.answeredRate(proxyZone), now, answers, seconds);
                addUtilization(node, utilization, seconds);
                addLatency(node, latency, seconds);
            }
        }

        private void addUtilization(Node node, double utilization, double seconds) {
            if (!Double.isNaN(utilization)) {
                double busySeconds = utilization * seconds;
                windows.addLoad(node.utilization(), now, busySeconds, seconds);
                windows.addDemand(node.recentUtilization(), now, busySeconds, seconds);
            }
        }

        private void addLatency(Node node, double latency, double seconds) {
            if (!Double.isNaN(latency)) {
                windows.addLoad(node.latency(), now, latency * seconds, seconds);
            }
        }

        @Override
        public void demandReported(ProxyId id, MethodId method, int requests, long coveredNanos) {
            Proxy proxy = proxies.find(id);
            if (proxy != null) {
                windows.addDemand(
                        proxy.findOrAddOfferedRate(method),
                        now,
                        requests,
                        TimeUnits.seconds(coveredNanos));
            }
        }

        @Override
        public void healthChecked(NodeId id, HealthCheckResult result) {
            Node node = nodes.find(id);
            if (node != null) {
                healthChecks.addResult(node, result, now);
            }
        }

        @Override
        public void timerFired() {
            triggers.requireEvaluation();
        }
    }
}
