package rosespread.scenario;

import java.util.Map;

/**
 * No node that warms up is overloaded by proxies whose controller knew of its start. Broken if two
 * thirds of the work came from proxies whose last message was sent in knowledge of the start, or
 * whose controller had known of it for the drain timeout. Values are that share of the work.
 * Confined to the loop's thread.
 */
final class WarmUpInvariant {
    private static final double INFORMED_SHARE = 2 / 3.0;

    private final InvariantResult result;
    private final long knowledgeNanos;
    private final RunTimeline timeline;
    private final ObservedProxies proxies;
    private final ServedNodeLists nodeLists;

    WarmUpInvariant(
            Scenario scenario,
            RunTimeline timeline,
            ObservedProxies proxies,
            ServedNodeLists nodeLists) {
        this.result =
                new InvariantResult(
                        "noColdNodePushedOver", scenario.site().warmUp().overloadFactor());
        this.knowledgeNanos = scenario.limits().drainTimeoutNanos();
        this.timeline = timeline;
        this.proxies = proxies;
        this.nodeLists = nodeLists;
    }

    InvariantResult result() {
        return result;
    }

    void warmingNodeReached() {
        result.countCheck();
    }

    /**
     * A node that warmed up was overloaded.
     *
     * @param workByProxy seconds of work that each proxy sent it in the window before
     */
    void nodeOverloaded(
            long nanos, String node, long startedNanos, Map<String, Double> workByProxy) {
        double informed = 0;
        for (Map.Entry<String, Double> work : workByProxy.entrySet()) {
            boolean knew = knewOfStart(nanos, proxies.get(work.getKey()), node, startedNanos);
            informed += knew ? work.getValue() : 0;
        }
        double all = workByProxy.values().stream().mapToDouble(work -> work).sum();
        String where =
                node
                        + " fell over at "
                        + timeline.describe(nanos)
                        + ", "
                        + Math.round(100 * informed / all)
                        + "% of the work from informed proxies";
        result.recordValue(informed / all, where);
        if (informed >= INFORMED_SHARE * all) {
            result.recordViolation(where);
        }
    }

    private boolean knewOfStart(
            long nanos, ObservedProxy proxy, String nodeName, long startedNanos) {
        if (!proxy.isJoined()) {
            return false;
        }
        ObservedNode node = nodeLists.node(proxy.controller(), nodeName);
        if (node == null || !node.isReady() || node.stateSinceNanos() < startedNanos) {
            return false;
        }
        long since = node.stateSinceNanos();
        return proxy.lastMessageSentNanos() > since
                || nanos - since > timeline.extendedLimit(knowledgeNanos, since, nanos);
    }
}
