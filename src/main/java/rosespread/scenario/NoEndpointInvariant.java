package rosespread.scenario;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import rosespread.testbed.SiteDefinition;

/**
 * A joined proxy has an entry to pick for each method, as long as its controller knows a ready,
 * warm node for it; a lack may last as long as the contract says. Values in milliseconds. Confined
 * to the loop's thread.
 */
final class NoEndpointInvariant {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** What a proxy can pick, and since when (in nanoseconds) it lacks an entry for a method. */
    private static final class Availability {
        final Map<String, Boolean> availableByMethod = new HashMap<>();
        final Map<String, Long> lackingSince = new HashMap<>();
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
        availability.lackingSince.clear();
        for (SiteDefinition.Method method : site.methods()) {
            result.countCheck();
            if (!availability.availableByMethod.getOrDefault(method.name(), false)) {
                availability.lackingSince.put(method.name(), nanos);
            }
        }
    }

    void proxyLeft(String proxy) {
        availability(proxy).lackingSince.clear();
    }

    void availabilityChanged(long nanos, ObservedProxy proxy, String method, boolean available) {
        Availability availability = availability(proxy.name());
        availability.availableByMethod.put(method, available);
        if (available) {
            availability.lackingSince.remove(method);
        } else if (proxy.isJoined()) {
            availability.lackingSince.put(method, nanos);
        }
    }

    /** Looks at every proxy that lacks an entry; called often. */
    void sample(long nanos) {
        byProxy.forEach(
                (name, availability) ->
                        availability.lackingSince.replaceAll(
                                (method, since) -> check(nanos, proxies.get(name), method, since)));
    }

    /** Returns from when on the lack counts. */
    private long check(long nanos, ObservedProxy proxy, String method, long since) {
        if (!proxy.isJoined()) {
            return since;
        }
        if (!hasReadyWarmNode(proxy.controller(), method)) {
            return nanos;
        }
        double lackNanos = nanos - since;
        String where = proxy.name() + " for " + method + " at " + timeline.describe(nanos);
        result.recordValue(lackNanos / NANOS_PER_MILLI, where);
        if (lackNanos <= timeline.extendedLimit(limitNanos, since, nanos)) {
            return since;
        }
        result.recordViolation(
                where + ": no line to pick for " + RunTimeline.toMillis(lackNanos) + " ms");
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
