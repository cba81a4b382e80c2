package rosespread.scenario;

import java.util.Map;

/**
 * Checks that no node in its warm-up is overloaded by proxies whose controller knew of its start.
 * Violated if at least two thirds of the work that overloaded a node came from informed proxies. A
 * proxy is informed if the last message to it was sent after its controller learned of the start,
 * or if its controller has known of the start for longer than the drain timeout. Values are the
 * fraction of the work from informed proxies. Confined to the loop's thread.
 */
final class WarmUpInvariant {
    private static final double INFORMED_WORK_RATIO_LIMIT = 2 / 3.0;

    private final InvariantResult result;
    private final long drainTimeoutNanos;
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
        this.drainTimeoutNanos = scenario.limits().drainTimeoutNanos();
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
     * Checks the sources of the work that overloaded a node in its warm-up.
     *
     * @param workByProxy seconds of work that each proxy sent to the node in the preceding window
     */
    void nodeOverloaded(
            long nanos, String node, long startedNanos, Map<String, Double> workByProxy) {
        double informed = 0;
        for (Map.Entry<String, Double> work : workByProxy.entrySet()) {
            boolean fromInformedProxy =
                    isInformed(nanos, proxies.get(work.getKey()), node, startedNanos);
            informed += fromInformedProxy ? work.getValue() : 0;
        }
        double all = workByProxy.values().stream().mapToDouble(work -> work).sum();
        String where =
                node
                        + " was overloaded at "
                        + timeline.describe(nanos)
                        + ", "
                        + Math.round(100 * informed / all)
                        + "% of the work from informed proxies";
        result.recordValue(informed / all, where);
        if (informed >= INFORMED_WORK_RATIO_LIMIT * all) {
            result.recordViolation(where);
        }
    }

    private boolean isInformed(
            long nanos, ObservedProxy proxy, String nodeName, long startedNanos) {
        if (!proxy.isJoined()) {
            return false;
        }
        ObservedNode node = nodeLists.node(proxy.controller(), nodeName);
        if (node == null || !node.isReady() || node.stateSinceNanos() < startedNanos) {
            return false;
        }
        long since = node.stateSinceNanos();
        return proxy.lastMessageOrderedNanos() > since
                || nanos - since > timeline.extendedLimit(drainTimeoutNanos, since, nanos);
    }
}
