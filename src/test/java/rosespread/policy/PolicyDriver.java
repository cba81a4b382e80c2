package rosespread.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** Collects events and feeds them to a routing policy round by round; it alone calls the policy. */
final class PolicyDriver {
    /** One entry of a node list. */
    record NodeEntry(
            long id,
            int kind,
            int zone,
            double weight,
            EventHandler.NodeState state,
            long started) {}

    private final RoutingPolicy policy;
    private final RecordingActions actions;
    private final LongSupplier clock;
    private final List<Consumer<EventHandler>> events = new ArrayList<>();

    PolicyDriver(PolicySettings settings, long seed, RecordingActions actions, LongSupplier clock) {
        this.policy = new RoutingPolicy(settings, new SplittableRandom(seed));
        this.actions = actions;
        this.clock = clock;
    }

    /** Feeds all collected events; returns the time that the policy took by the driver's clock. */
    long round(long now) {
        List<Consumer<EventHandler>> arrived = List.copyOf(events);
        events.clear();
        actions.beginRound(now);
        long startedAt = clock.getAsLong();
        policy.round(now, handler -> arrived.forEach(event -> event.accept(handler)), actions);
        return clock.getAsLong() - startedAt;
    }

    void nodeList(EventHandler.NodeListKind kind, List<NodeEntry> entries) {
        events.add(o -> o.listStarted(kind));
        for (NodeEntry e : entries) {
            events.add(
                    o ->
                            o.nodeListed(
                                    new NodeId(e.id()),
                                    new MachineTypeId(e.kind()),
                                    new ZoneId(e.zone()),
                                    e.weight(),
                                    e.state(),
                                    e.started()));
        }
        events.add(EventHandler::listCompleted);
    }

    void join(int proxy, int zone, double rate) {
        events.add(o -> o.proxyJoined(new ProxyId(proxy), new ZoneId(zone), rate));
    }

    void leave(int proxy) {
        events.add(o -> o.proxyLeft(new ProxyId(proxy)));
    }

    void acknowledge(int proxy, int token, long latency) {
        events.add(o -> o.acknowledged(new ProxyId(proxy), token, latency));
    }

    void loadReport(
            long node,
            int zone,
            int attempts,
            int failures,
            double latency,
            long coveredNanos,
            double utilization) {
        events.add(
                o ->
                        o.loadReported(
                                new NodeId(node),
                                new ZoneId(zone),
                                attempts,
                                failures,
                                latency,
                                coveredNanos,
                                utilization));
    }

    void demandReport(int proxy, int method, int count, long coveredNanos) {
        events.add(
                o ->
                        o.demandReported(
                                new ProxyId(proxy), new MethodId(method), count, coveredNanos));
    }

    void healthCheckResult(long node, EventHandler.HealthCheckResult result) {
        events.add(o -> o.healthChecked(new NodeId(node), result));
    }

    void fireTimer() {
        events.add(EventHandler::timerFired);
    }
}
