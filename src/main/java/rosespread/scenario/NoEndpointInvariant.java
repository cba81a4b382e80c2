package rosespread.scenario;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rosespread.testbed.SiteDefinition;

/**
 * Checks that a joined proxy has a weight entry to pick for each method while its controller knows
 * a ready, warm node that serves the method. The proxy may be without such an entry for at most
 * {@link Scenario.Limits#noEndpointNanos}. Values in milliseconds. Confined to the loop's thread.
 */
final class NoEndpointInvariant {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * For each method, whether a proxy has a weight entry to pick, or since when (in nanoseconds)
     * it has had none.
     */
    private static final class Availability {
        final Map<String, Boolean> availableByMethod = new HashMap<>();
        final Map<String, Long> unavailableSince = new HashMap<>();
    }

    private final InvariantResult result;
    private final SiteDefinition site;
    private final long limitNanos;
    private final RunTimeline timeline;
    private final ObservedProxies proxies;
    private final ServedNodeLists nodeLists;
    private final Map<String, Availability> byProxy = new TreeMap<>();

    NoEndpointInvariant(
            Scenario scenario,
            RunTimeline timeline,
            ObservedProxies proxies,
            ServedNodeLists nodeLists) {
        this.site = scenario.site();
        this.limitNanos = scenario.limits().noEndpointNanos();
        this.result =
                new InvariantResult("noProxyWithoutNode", limitNanos / (double) NANOS_PER_MILLI);
        this.timeline = timeline;
        this.proxies = proxies;
        this.nodeLists = nodeLists;
    }

    InvariantResult result() {
        return result;
    }

    void proxyJoined(long nanos, String proxy) {
        Availability availability = availability(proxy);
        availability.unavailableSince.clear();
        for (SiteDefinition.Method method : site.methods()) {
            result.countCheck();
            if (!availability.availableByMethod.getOrDefault(method.name(), false)) {
                availability.unavailableSince.put(method.name(), nanos);
            }
        }
    }

    void proxyLeft(String proxy) {
        availability(proxy).unavailableSince.clear();
    }

    void availabilityChanged(long nanos, ObservedProxy proxy, String method, boolean available) {
        Availability availability = availability(proxy.name());
        availability.availableByMethod.put(method, available);
        if (available) {
            availability.unavailableSince.remove(method);
        } else if (proxy.isJoined()) {
            availability.unavailableSince.put(method, nanos);
        }
    }

    /** Checks every proxy that is without an entry; called periodically. */
    void sample(long nanos) {
        byProxy.forEach(
                (name, availability) ->
                        availability.unavailableSince.replaceAll(
                                (method, since) -> check(nanos, proxies.get(name), method, since)));
    }

    /**
     * Checks one method of a proxy that has no entry for it.
     *
     * @return the time from which the next check counts how long the proxy has had no entry
     */
    private long check(long nanos, ObservedProxy proxy, String method, long since) {
        if (!proxy.isJoined()) {
            return since;
        }
        if (!hasReadyWarmNode(proxy.controller(), method)) {
            return nanos;
        }
        double unavailableNanos = nanos - since;
        String where = proxy.name() + " for " + method + " at " + timeline.describe(nanos);
        result.recordValue(unavailableNanos / NANOS_PER_MILLI, where);
        if (unavailableNanos <= timeline.extendedLimit(limitNanos, since, nanos)) {
            return since;
        }
        result.recordViolation(
                where
                        + ": no weight entry to pick for "
                        + RunTimeline.toMillis(unavailableNanos)
                        + " ms");
        return nanos;
    }

    private boolean hasReadyWarmNode(String controller, String methodName) {
        SiteDefinition.Method method = site.method(methodName).orElseThrow();
        long wallMillis = System.currentTimeMillis();
        long warmUpMillis = site.warmUp().durationNanos() / NANOS_PER_MILLI;
        return nodeLists.nodes(controller).stream()
                .anyMatch(
                        node ->
                                node.isReady()
                                        && wallMillis - node.startedMillis() > warmUpMillis
                                        && method.isServedBy(node.machineType()));
    }

    private Availability availability(String proxy) {
        return byProxy.computeIfAbsent(proxy, name -> new Availability());
    }
}
