package rosespread.controller;

import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** Ignores all events. */
class NoOpEventHandler implements EventHandler {
    @Override
    public void listStarted(NodeListKind kind) {}

    @Override
    public void nodeListed(
            NodeId node,
            MachineTypeId machineType,
            ZoneId zone,
            double weight,
            NodeState state,
            long startedAt) {}

    @Override
    public void listCompleted() {}

    @Override
    public void proxyJoined(ProxyId proxy, ZoneId zone, double usualRate) {}

    @Override
    public void proxyLeft(ProxyId proxy) {}

    @Override
    public void acknowledged(ProxyId proxy, int token, long latencyNanos) {}

    @Override
    public void loadReported(
            NodeId node,
            ZoneId zone,
            int attempts,
            int failures,
            double latency,
            long coveredNanos,
            double utilization) {}

    @Override
    public void demandReported(ProxyId proxy, MethodId method, int requests, long coveredNanos) {}

    @Override
    public void healthChecked(NodeId node, HealthCheckResult result) {}

    @Override
    public void timerFired() {}
}
