package rosespread.controller;

import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** Hears everything and does nothing. */
class NoOpEventHandler implements EventHandler {
    @Override
    public void listStarted(NodeListKind kind) {}

    @Override
    public void nodeListed(
            NodeId node,
            MachineTypeId kind,
            ZoneId zone,
            double weight,
            NodeState state,
            long started) {}

    @Override
    public void listCompleted() {}

    @Override
    public void proxyJoined(ProxyId proxy, ZoneId zone, double rate) {}

    @Override
    public void proxyLeft(ProxyId proxy) {}

    @Override
    public void acknowledged(ProxyId proxy, int mark, long took) {}

    @Override
    public void loadReported(
            NodeId node,
            ZoneId zone,
            int tries,
            int unanswered,
            double latency,
            long covers,
            double utilization) {}

    @Override
    public void demandReported(ProxyId proxy, MethodId method, int count, long covers) {}

    @Override
    public void healthChecked(NodeId node, HealthCheckResult verdict) {}

    @Override
    public void timerFired() {}
}
