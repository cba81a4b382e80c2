package rosespread.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** Records the policy's events as texts, with the time of the fixture. */
final class RecordingEventHandler extends NoOpEventHandler {
    private final List<String> events = new ArrayList<>();
    private final LongSupplier clock;

    /**
     * @param clock the time that ages are counted to, in nanoseconds
     */
    RecordingEventHandler(LongSupplier clock) {
        this.clock = clock;
    }

    List<String> events() {
        return events;
    }

    /** Returns the events that begin with one of the texts. */
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
            MachineTypeId kind,
            ZoneId zone,
            double weight,
            NodeState state,
            long started) {
        long upMillis = (clock.getAsLong() - started) / ControllerFixture.MILLI;
        events.add("node " + state + (started == Long.MIN_VALUE ? "" : " up " + upMillis));
    }

    @Override
    public void proxyJoined(ProxyId proxy, ZoneId zone, double rate) {
        events.add("joined " + proxy.value());
    }

    @Override
    public void proxyLeft(ProxyId proxy) {
        events.add("left " + proxy.value());
    }

    @Override
    public void acknowledged(ProxyId proxy, int token, long latency) {
        events.add(
                "installed "
                        + token
                        + " by "
                        + proxy.value()
                        + " in "
                        + latency / ControllerFixture.MILLI);
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
        events.add(
                "sums "
                        + tries
                        + "/"
                        + unanswered
                        + " over "
                        + covers / ControllerFixture.MILLI
                        + " at "
                        + latency);
    }

    @Override
    public void demandReported(ProxyId proxy, MethodId method, int count, long covers) {
        events.add("offered " + method.value() + " " + count);
    }

    @Override
    public void healthChecked(NodeId node, HealthCheckResult result) {
        events.add("probed " + result);
    }

    @Override
    public void timerFired() {
        events.add("woke");
    }
}
