package rosespread.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** Records the policy's events as texts, with node uptimes by the fixture's clock. */
final class RecordingEventHandler extends NoOpEventHandler {
    private final List<String> events = new ArrayList<>();
    private final LongSupplier nanoClock;

    /**
     * @param nanoClock the clock in nanoseconds that node uptimes are computed from
     */
    RecordingEventHandler(LongSupplier nanoClock) {
        this.nanoClock = nanoClock;
    }

    List<String> events() {
        return events;
    }

    /** Returns the events that start with one of the prefixes. */
    List<String> events(String... prefixes) {
        return events.stream()
                .filter(event -> List.of(prefixes).stream().anyMatch(event::startsWith))
                .toList();
    }

    @Override
    public void listStarted(NodeListKind kind) {
        events.add("list " + kind);
    }

    @Override
    public void nodeListed(
            NodeId node,
            MachineTypeId machineType,
            ZoneId zone,
            double weight,
            NodeState state,
            long startedAt) {
        long upMillis = (nanoClock.getAsLong() - startedAt) / ControllerFixture.NANOS_PER_MILLI;
        events.add("node " + state + (startedAt == Long.MIN_VALUE ? "" : " up " + upMillis));
    }

    @Override
    public void proxyJoined(ProxyId proxy, ZoneId zone, double usualRate) {
        events.add("joined " + proxy.value());
    }

    @Override
    public void proxyLeft(ProxyId proxy) {
        events.add("left " + proxy.value());
    }

    @Override
    public void acknowledged(ProxyId proxy, int token, long latencyNanos) {
        events.add(
                "acknowledged "
                        + token
                        + " by "
                        + proxy.value()
                        + " in "
                        + latencyNanos / ControllerFixture.NANOS_PER_MILLI);
    }

    @Override
    public void loadReported(
            NodeId node,
            ZoneId zone,
            int attempts,
            int failures,
            double latency,
            long coveredNanos,
            double utilization) {
        events.add(
                "sums "
                        + attempts
                        + "/"
                        + failures
                        + " over "
                        + coveredNanos / ControllerFixture.NANOS_PER_MILLI
                        + " at "
                        + latency);
    }

    @Override
    public void demandReported(ProxyId proxy, MethodId method, int requests, long coveredNanos) {
        events.add("demand " + method.value() + " " + requests);
    }

    @Override
    public void healthChecked(NodeId node, HealthCheckResult result) {
        events.add("health check " + result);
    }

    @Override
    public void timerFired() {
        events.add("timer fired");
    }
}
