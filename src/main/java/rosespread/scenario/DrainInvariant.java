package rosespread.scenario;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * No joined proxy sends to a node for longer than the drain timeout after its controller learned
 * from the list, or from an operator, that the node is not to be used. Values in milliseconds.
 * Confined to the loop's thread; the histograms are read after the run.
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

    /** When a controller accepted an operator's drain; it outlives the controller's process. */
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
     * For each drain, how long a proxy went on sending once it was joined and its controller knew.
     */
    Histogram drainMillis() {
        return drainMillis;
    }

    /** For each attempt at a node that an operator drains, the time since that was accepted. */
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

    /** The node's drain, if it is in one, is over, or the run is. */
    void closeDrain(ObservedNode node) {
        if (node.isWithdrawn()) {
            drainMillis.recordValue(node.longestUseNanos() / NANOS_PER_MILLI);
        }
    }

    /** A controller accepted that a node drains; from here on it is as if the list had shown it. */
    void operatorDrained(long nanos, String controller, String node) {
        operatorDrains.computeIfAbsent(controller, c -> new TreeMap<>()).putIfAbsent(node, nanos);
        result.countChecks(proxies.joinedTo(controller));
    }

    void operatorUndrained(String controller, String node) {
        operatorDrains.getOrDefault(controller, new TreeMap<>()).remove(node);
    }

    /**
     * A proxy sent to a node.
     *
     * @param node as the proxy's controller knows it; null if it does not
     */
    void attemptStarted(long nanos, ObservedProxy proxy, String nodeName, ObservedNode node) {
        if (!proxy.isJoined()) {
            return;
        }
        Long acceptedNanos =
                operatorDrains.getOrDefault(proxy.controller(), Map.of()).get(nodeName);
        if (acceptedNanos != null) {
            attemptDuringOperatorDrain(nanos, proxy, nodeName, acceptedNanos);
        }
        if (node != null && !node.isReady()) {
            attemptDuringDrain(nanos, proxy, nodeName, node);
        }
    }

    private void attemptDuringOperatorDrain(
            long nanos, ObservedProxy proxy, String nodeName, long acceptedNanos) {
        long from = Math.max(acceptedNanos, proxy.joinedNanos());
        String where = where(nanos, proxy, nodeName);
        result.recordValue((nanos - from) / (double) NANOS_PER_MILLI, where);
        operatorDrainMillis.recordValue((nanos - from) / NANOS_PER_MILLI);
        if (isLate(from, nanos)) {
            result.recordViolation(
                    String.format(
                            "%s: %d ms after %s took an operator's drain up; joined %s",
                            where,
                            RunTimeline.toMillis(nanos - from),
                            proxy.controller(),
                            RunTimeline.describeAge(nanos, proxy.joinedNanos())));
        }
    }

    private void attemptDuringDrain(
            long nanos, ObservedProxy proxy, String nodeName, ObservedNode node) {
        long from = Math.max(node.stateSinceNanos(), proxy.joinedNanos());
        node.recordUseAfterDrain(nanos - from);
        String where = where(nanos, proxy, nodeName);
        result.recordValue((nanos - from) / (double) NANOS_PER_MILLI, where);
        if (isLate(from, nanos)) {
            result.recordViolation(
                    String.format(
                            "%s: %d ms after %s was told that it is %s; joined %s, told %s,"
                                    + " first message %s, last one %s",
                            where,
                            RunTimeline.toMillis(nanos - from),
                            proxy.controller(),
                            node.state(),
                            RunTimeline.describeAge(nanos, proxy.joinedNanos()),
                            RunTimeline.describeAge(nanos, node.stateSinceNanos()),
                            RunTimeline.describeAge(nanos, proxy.firstMessageNanos()),
                            RunTimeline.describeAge(nanos, proxy.lastMessageSentNanos())));
        }
    }

    private boolean isLate(long fromNanos, long nanos) {
        return nanos - fromNanos > timeline.extendedLimit(limitNanos, fromNanos, nanos);
    }

    private String where(long nanos, ObservedProxy proxy, String nodeName) {
        return proxy.name() + " to " + nodeName + " at " + timeline.describe(nanos);
    }
}
