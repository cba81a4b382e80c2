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

/**
 * Collects events and delivers them to a routing policy, one round at a time. The simulation calls
 * the policy only through this class.
 */
final class PolicyDriver {
    /** One entry of a node list. */
    record NodeEntry(
            long id,
            int machineType,
            int zone,
            double weight,
            EventHandler.NodeState state,
            long startedAt) {}

    private final RoutingPolicy policy;
    private final RecordingActions actions;
    private final LongSupplier clock;
    private final List<Consumer<EventHandler>> events = new ArrayList<>();

    PolicyDriver(PolicySettings settings, long seed, RecordingActions actions, LongSupplier clock) {
        this.policy = new RoutingPolicy(settings, new SplittableRandom(seed));
        this.actions = actions;
        this.clock = clock;
    }

    /** Delivers all collected events; returns the duration of the round by the driver's clock. */
    long round(long now) {
        List<Consumer<EventHandler>> arrived = List.copyOf(events);
        events.clear();
        actions.beginRound(now);
        long startedAt = clock.getAsLong();
        policy.round(now, handler -> arrived.forEach(event -> event.accept(handler)), actions);
        return clock.getAsLong() - startedAt;
    }

    void nodeList(EventHandler.NodeListKind kind, List<NodeEntry> entries) {
        events.add(handler -> handler.listStarted(kind));
        for (NodeEntry entry : entries) {
            events.add(
                    handler ->
                            handler.nodeListed(
                                    new NodeId(entry.id()),
                                    new MachineTypeId(entry.machineType()),
                                    new ZoneId(entry.zone()),
                                    entry.weight(),
                                    entry.state(),
                                    entry.startedAt()));
        }
        events.add(EventHandler::listCompleted);
    }

    void join(int proxy, int zone, double rate) {
        events.add(handler -> handler.proxyJoined(new ProxyId(proxy), new ZoneId(zone), rate));
    }

    void leave(int proxy) {
        events.add(handler -> handler.proxyLeft(new ProxyId(proxy)));
    }

    void acknowledge(int proxy, int token, long latency) {
        events.add(handler -> handler.acknowledged(new ProxyId(proxy), token, latency));
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
                handler ->
                        handler.loadReported(
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
                handler ->
                        handler.demandReported(
                                new ProxyId(proxy), new MethodId(method), count, coveredNanos));
    }

    void healthCheckResult(long node, EventHandler.HealthCheckResult result) {
        events.add(handler -> handler.healthChecked(new NodeId(node), result));
    }

    void fireTimer() {
        events.add(EventHandler::timerFired);
    }
}
