package rosespread.scenario;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Checks that no joined proxy sends to a node for longer than the drain timeout after the proxy's
 * controller learned, from the node list or from an operator, that the node must not be used.
 * Values in milliseconds. Confined to the loop's thread; the histograms are read after the run.
 */
final class DrainInvariant implements ServedNodeLists.Listener {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int HISTOGRAM_DIGITS = 3;

    private final InvariantResult result;
    private final long limitNanos;
    private final RunTimeline timeline;
    private final ObservedProxies proxies;
    private final Histogram drainMillis = new Histogram(HISTOGRAM_DIGITS);
    private final Histogram operatorDrainMillis = new Histogram(HISTOGRAM_DIGITS);

    /**
     * Times at which controllers accepted operators' drains, by controller and node. An entry
     * survives the end of the controller's process.
     */
    private final Map<String, Map<String, Long>> operatorDrains = new TreeMap<>();

    DrainInvariant(Scenario scenario, RunTimeline timeline, ObservedProxies proxies) {
        this.limitNanos = scenario.limits().drainTimeoutNanos();
        this.result = new InvariantResult("drainsKept", limitNanos / (double) NANOS_PER_MILLI);
        this.timeline = timeline;
        this.proxies = proxies;
    }

    InvariantResult result() {
        return result;
    }

    /**
     * Returns, for each drain, the longest time for which a proxy kept sending to the node after
     * the proxy had joined and its controller had learned of the drain.
     */
    Histogram drainMillis() {
        return drainMillis;
    }

    /**
     * Returns, for each attempt to a node that an operator drains, the time since the controller
     * accepted the drain.
     */
    Histogram operatorDrainMillis() {
        return operatorDrainMillis;
    }

    @Override
    public void stateChanging(ObservedNode node) {
        closeDrain(node);
    }

    @Override
    public void nodeWithdrawn(String controller) {
        result.countChecks(proxies.joinedTo(controller));
    }

    /**
     * Adds to {@link #drainMillis} how long proxies kept sending to the node, if the node must not
     * be used; called before its state changes and at the end of the run.
     */
    void closeDrain(ObservedNode node) {
        if (node.isWithdrawn()) {
            drainMillis.recordValue(node.longestUseNanos() / NANOS_PER_MILLI);
        }
    }

    /**
     * Records that a controller accepted an operator's drain; the drain timeout applies from now on
     * as if the node list had shown the drain.
     */
    void operatorDrained(long nanos, String controller, String node) {
        operatorDrains.computeIfAbsent(controller, c -> new TreeMap<>()).putIfAbsent(node, nanos);
        result.countChecks(proxies.joinedTo(controller));
    }

    void operatorUndrained(String controller, String node) {
        operatorDrains.getOrDefault(controller, new TreeMap<>()).remove(node);
    }

    /**
     * Checks an attempt that a proxy sends to a node.
     *
     * @param node the node as the proxy's controller knows it; null if it does not know the node
     */
    void attemptStarted(long nanos, ObservedProxy proxy, String nodeName, ObservedNode node) {
        if (!proxy.isJoined()) {
            return;
        }
        Long acceptedNanos =
                operatorDrains.getOrDefault(proxy.controller(), Map.of()).get(nodeName);
        if (acceptedNanos != null) {
            checkOperatorDrain(nanos, proxy, nodeName, acceptedNanos);
        }
        if (node != null && !node.isReady()) {
            checkListedDrain(nanos, proxy, nodeName, node);
        }
    }

    private void checkOperatorDrain(
            long nanos, ObservedProxy proxy, String nodeName, long acceptedNanos) {
        long from = Math.max(acceptedNanos, proxy.joinedNanos());
        String where = describeAttempt(nanos, proxy, nodeName);
        result.recordValue((nanos - from) / (double) NANOS_PER_MILLI, where);
        operatorDrainMillis.recordValue((nanos - from) / NANOS_PER_MILLI);
        if (isLate(from, nanos)) {
            result.recordViolation(
                    String.format(
                            "%s: %d ms after %s accepted an operator's drain; proxy joined %s",
                            where,
                            RunTimeline.toMillis(nanos - from),
                            proxy.controller(),
                            RunTimeline.describeAge(nanos, proxy.joinedNanos())));
        }
    }

    private void checkListedDrain(
            long nanos, ObservedProxy proxy, String nodeName, ObservedNode node) {
        long from = Math.max(node.stateSinceNanos(), proxy.joinedNanos());
        node.recordUseAfterDrain(nanos - from);
        String where = describeAttempt(nanos, proxy, nodeName);
        result.recordValue((nanos - from) / (double) NANOS_PER_MILLI, where);
        if (isLate(from, nanos)) {
            result.recordViolation(
                    String.format(
                            "%s: %d ms after %s learned that the node is %s; proxy joined %s,"
                                    + " node state learned %s, first message %s, last message %s",
                            where,
                            RunTimeline.toMillis(nanos - from),
                            proxy.controller(),
                            node.state(),
                            RunTimeline.describeAge(nanos, proxy.joinedNanos()),
                            RunTimeline.describeAge(nanos, node.stateSinceNanos()),
                            RunTimeline.describeAge(nanos, proxy.firstMessageNanos()),
                            RunTimeline.describeAge(nanos, proxy.lastMessageOrderedNanos())));
        }
    }

    private boolean isLate(long fromNanos, long nanos) {
        return nanos - fromNanos > timeline.extendedLimit(limitNanos, fromNanos, nanos);
    }

    private String describeAttempt(long nanos, ObservedProxy proxy, String nodeName) {
        return proxy.name() + " to " + nodeName + " at " + timeline.describe(nanos);
    }
}
