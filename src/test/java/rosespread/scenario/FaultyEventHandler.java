package rosespread.scenario;

import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** Passes events on to a policy, but for drains if it is to ignore them; notes the nodes. */
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
            NodeId node, MachineTypeId kind, ZoneId zone, double weight, NodeState state, long up) {
        if (up != Long.MIN_VALUE) {
            nodes.started(node, up - firstRoundNanos);
        }
        nodes.setDraining(node, state != NodeState.READY);
        handler.nodeListed(
                node,
                kind,
                zone,
                weight,
                fault == FaultyController.Fault.IGNORES_DRAINS ? NodeState.READY : state,
                fault == FaultyController.Fault.FLOODS_COLD ? Long.MIN_VALUE : up);
    }

    @Override
    public void listCompleted() {
        handler.listCompleted();
    }

    @Override
    public void proxyJoined(ProxyId proxy, ZoneId zone, double rate) {
        handler.proxyJoined(proxy, zone, rate);
    }

    @Override
    public void proxyLeft(ProxyId proxy) {
        handler.proxyLeft(proxy);
    }

    @Override
    public void acknowledged(ProxyId proxy, int mark, long took) {
        handler.acknowledged(proxy, mark, took);
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
        handler.loadReported(node, zone, tries, unanswered, latency, covers, utilization);
    }

    @Override
    public void demandReported(ProxyId proxy, MethodId method, int count, long covers) {
        handler.demandReported(proxy, method, count, covers);
    }

    @Override
    public void healthChecked(NodeId node, HealthCheckResult verdict) {
        handler.healthChecked(node, verdict);
    }

    @Override
    public void timerFired() {
        handler.timerFired();
    }
}
