package rosespread.platform;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import rosespread.api.EventHandler;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;
import rosespread.api.ZoneId;

/**
 * Generates load reports on nodes that share the load evenly and never fail, and demand reports of
 * proxies.
 */
final class SimulatedReports {
    static final long PERIOD_NANOS = FleetModel.SECOND / 2;
    private static final double MIN_LATENCY_SECONDS = 0.2;
    private static final double LATENCY_SPREAD_SECONDS = 0.1;
    private static final int REQUESTS_BOUND = 3;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private final Consumer<Consumer<EventHandler>> events;

    SimulatedReports(
            PolicySettings settings,
            SplittableRandom random,
            Consumer<Consumer<EventHandler>> events) {
        this.settings = settings;
        this.random = random;
        this.events = events;
    }

    /** Reports the load on each ready node from each zone, with this mean number of attempts. */
    void reportLoad(List<NodeId> ready, double meanAttempts) {
        for (NodeId node : ready) {
            for (int zone = 0; zone < settings.zones(); zone++) {
                reportLoad(node, new ZoneId(zone), meanAttempts);
            }
        }
    }

    private void reportLoad(NodeId node, ZoneId zone, double meanAttempts) {
        int attempts = (int) (meanAttempts + random.nextDouble());
        double latency = MIN_LATENCY_SECONDS + LATENCY_SPREAD_SECONDS * random.nextDouble();
        double reported = attempts > 0 ? latency : Double.NaN;
        events.accept(
                handler ->
                        handler.loadReported(
                                node, zone, attempts, 0, reported, PERIOD_NANOS, Double.NaN));
    }

    /** Reports a few requests of one method from each joined proxy. */
    void reportDemand(Collection<SimulatedProxy> proxies) {
        for (SimulatedProxy proxy : proxies) {
            if (proxy.isJoined()) {
                int requests = random.nextInt(REQUESTS_BOUND);
                MethodId method = new MethodId(random.nextInt(settings.methods().size()));
                events.accept(
                        handler ->
                                handler.demandReported(proxy.id(), method, requests, PERIOD_NANOS));
            }
        }
    }
}
