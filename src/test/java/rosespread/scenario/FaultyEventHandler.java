package rosespread.scenario;

import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/**
 * Forwards events to a policy's handler and records the nodes. Hides drains or starts of nodes for
 * the faults {@code IGNORES_DRAINS} and {@code OVERLOADS_WARMING_NODES}.
 */
record FaultyEventHandler(
        EventHandler handler,
        FaultyController.Fault fault,
        NodeObservations nodes,
        long firstRoundNanos)
        implements EventHandler {
    @Override
    public void listStarted(NodeListKind kind) {
        handler.listStarted(
                fault == FaultyController.Fault.IGNORES_DRAINS ? NodeListKind.INCREMENTAL : kind);
    }

    @Override
    public void nodeListed(
            NodeId node,
            MachineTypeId machineType,
            ZoneId zone,
            double weight,
            NodeState state,
            long startedAt) {
        if (startedAt != Long.MIN_VALUE) {
            nodes.started(node, startedAt - firstRoundNanos);
        }
        nodes.setDraining(node, state != NodeState.READY);
        handler.nodeListed(
                node,
                machineType,
                zone,
                weight,
                fault == FaultyController.Fault.IGNORES_DRAINS ? NodeState.READY : state,
                fault == FaultyController.Fault.OVERLOADS_WARMING_NODES
                        ? Long.MIN_VALUE
                        : startedAt);
    }

    @Override
    public void listCompleted() {
        handler.listCompleted();
    }

    @Override
    public void proxyJoined(ProxyId proxy, ZoneId zone, double usualRate) {
        handler.proxyJoined(proxy, zone, usualRate);
    }

    @Override
    public void proxyLeft(ProxyId proxy) {
        handler.proxyLeft(proxy);
    }

    @Override
    public void acknowledged(ProxyId proxy, int token, long latencyNanos) {
        handler.acknowledged(proxy, token, latencyNanos);
    }

    @Override
    public void loadReported(
            NodeId node,
            ZoneId proxyZone,
            int attempts,
            int failures,
            double latency,
            long coveredNanos,
            double utilization) {
        handler.loadReported(
                node, proxyZone, attempts, failures, latency, coveredNanos, utilization);
    }

    @Override
    public void demandReported(ProxyId proxy, MethodId method, int requests, long coveredNanos) {
        handler.demandReported(proxy, method, requests, coveredNanos);
    }

    @Override
    public void healthChecked(NodeId node, HealthCheckResult result) {
        handler.healthChecked(node, result);
    }

    @Override
    public void timerFired() {
        handler.timerFired();
    }
}
