package rosespread.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import rosespread.Brain;
import rosespread.api.KindId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.Observer;
import rosespread.api.ProxyId;
import rosespread.api.Settings;
import rosespread.api.ZoneId;

/** Collects events and feeds them to a routing policy round by round; it alone calls the policy. */
final class PolicyDriver {
    /** One entry of a node list. */
    record NodeEntry(
            long id, int kind, int zone, double weight, Observer.NodeState state, long started) {}

    private final Brain policy;
    private final RecordingOrders orders;
    private final LongSupplier clock;
    private final List<Consumer<Observer>> events = new ArrayList<>();

    PolicyDriver(Settings settings, long seed, RecordingOrders orders, LongSupplier clock) {
        this.policy = new Brain(settings, new SplittableRandom(seed));
        this.orders = orders;
        this.clock = clock;
    }

    /** Feeds all collected events; returns the time that the policy took by the driver's clock. */
    long round(long now) {
        List<Consumer<Observer>> arrived = List.copyOf(events);
        events.clear();
        orders.beginRound(now);
        long began = clock.getAsLong();
        policy.round(now, observer -> arrived.forEach(event -> event.accept(observer)), orders);
        return clock.getAsLong() - began;
    }

    void nodeList(Observer.ListKind kind, List<NodeEntry> entries) {
        events.add(o -> o.listBegins(kind));
        for (NodeEntry e : entries) {
            events.add(
                    o ->
                            o.node(
                                    new NodeId(e.id()),
                                    new KindId(e.kind()),
                                    new ZoneId(e.zone()),
                                    e.weight(),
                                    e.state(),
                                    e.started()));
        }
        events.add(Observer::listEnds);
    }

    void join(int proxy, int zone, double rate) {
        events.add(o -> o.proxyJoined(new ProxyId(proxy), new ZoneId(zone), rate));
    }

    void leave(int proxy) {
        events.add(o -> o.proxyLeft(new ProxyId(proxy)));
    }

    void acknowledge(int proxy, int mark, long took) {
        events.add(o -> o.installed(new ProxyId(proxy), mark, took));
    }

    void loadReport(
            long node,
            int zone,
            int tries,
            int unanswered,
            double latency,
            long span,
            double utilization) {
        events.add(
                o ->
                        o.sums(
                                new NodeId(node),
                                new ZoneId(zone),
                                tries,
                                unanswered,
                                latency,
                                span,
                                utilization));
    }

    void offeredLoad(int proxy, int method, int count, long span) {
        events.add(o -> o.offered(new ProxyId(proxy), new MethodId(method), count, span));
    }

    void probeResult(long node, Observer.Verdict verdict) {
        events.add(o -> o.probed(new NodeId(node), verdict));
    }

    void wakeUp() {
        events.add(Observer::woke);
    }
}
