package rosespread.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * Checks that all proxies subscribed to a table hold the weights of an operator's rollback within
 * the drain timeout. Values in milliseconds. Confined to the loop's thread; the histogram is read
 * after the run.
 */
final class RollbackInvariant {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int HISTOGRAM_DIGITS = 3;

    /**
     * An accepted rollback that is not complete; {@code reached} names the proxies that have held
     * its weights.
     */
    private record Rollback(
            long acceptedNanos,
            String controller,
            int table,
            Map<String, Double> weights,
            Set<String> reached) {
        Rollback restartedAt(long nanos) {
            return new Rollback(nanos, controller, table, weights, new HashSet<>());
        }
    }

    private final InvariantResult result;
    private final long limitNanos;
    private final RunTimeline timeline;
    private final ObservedProxies proxies;
    private final Histogram millis = new Histogram(HISTOGRAM_DIGITS);
    private final List<Rollback> pending = new ArrayList<>();
    private final List<Rollback> interrupted = new ArrayList<>();

    RollbackInvariant(Scenario scenario, RunTimeline timeline, ObservedProxies proxies) {
        this.limitNanos = scenario.limits().drainTimeoutNanos();
        this.result = new InvariantResult("rollbacksInTime", limitNanos / NANOS_PER_MILLI);
        this.timeline = timeline;
        this.proxies = proxies;
    }

    InvariantResult result() {
        return result;
    }

    /**
     * How long each rollback took until every subscribed proxy had held its weights or until the
     * rollback was found to exceed the time limit.
     */
    Histogram millis() {
        return millis;
    }

    /**
     * Starts to measure how long an accepted rollback takes to reach all subscribed proxies; ends
     * the measurement of an earlier, incomplete rollback of the same table.
     *
     * @param weights the weights that the rollback restores, by node
     */
    void rolledBack(long nanos, String controller, int table, Map<String, Double> weights) {
        pending.removeIf(
                rollback -> rollback.controller().equals(controller) && rollback.table() == table);
        result.countCheck();
        pending.add(new Rollback(nanos, controller, table, weights, new HashSet<>()));
        check(nanos);
    }

    /**
     * Interrupts the measurement of the controller's incomplete rollbacks until {@link
     * #proxyJoined}, since the controller continues the rollbacks after its restart.
     */
    void controllerDown(String controller) {
        pending.removeIf(
                rollback -> rollback.controller().equals(controller) && interrupted.add(rollback));
    }

    /**
     * Restarts the measurement of the controller's interrupted rollbacks when the first proxy joins
     * the controller again.
     */
    void proxyJoined(long nanos, String controller) {
        interrupted.removeIf(
                rollback ->
                        rollback.controller().equals(controller)
                                && pending.add(rollback.restartedAt(nanos)));
    }

    /**
     * Ends the measurement of rollbacks that have reached all subscribed proxies or exceeded the
     * time limit.
     */
    void check(long nanos) {
        pending.removeIf(rollback -> isClosed(nanos, rollback));
    }

    private boolean isClosed(long nanos, Rollback rollback) {
        boolean complete = hasReachedAll(rollback);
        double elapsedNanos = nanos - rollback.acceptedNanos();
        boolean late =
                elapsedNanos > timeline.extendedLimit(limitNanos, rollback.acceptedNanos(), nanos);
        String where =
                "table "
                        + rollback.table()
                        + " of "
                        + rollback.controller()
                        + " at "
                        + timeline.describe(nanos);
        if (complete || late) {
            millis.recordValue(RunTimeline.toMillis(elapsedNanos));
            result.recordValue(elapsedNanos / NANOS_PER_MILLI, where);
        }
        if (late) {
            result.recordViolation(
                    where
                            + ": has not reached all proxies after "
                            + RunTimeline.toMillis(elapsedNanos)
                            + " ms");
        }
        return complete || late;
    }

    private boolean hasReachedAll(Rollback rollback) {
        boolean reachedAll = true;
        for (ObservedProxy proxy : proxies.all()) {
            Map<String, Double> held = proxy.weights(rollback.table());
            if (proxy.isJoinedTo(rollback.controller()) && held != null) {
                if (isSubset(held, rollback.weights())) {
                    rollback.reached().add(proxy.name());
                }
                reachedAll &= rollback.reached().contains(proxy.name());
            }
        }
        return reachedAll;
    }

    /**
     * Whether every weight that a proxy holds equals the rollback's weight of that node. Nodes
     * removed since the rollback may be missing from the held weights.
     */
    private static boolean isSubset(Map<String, Double> held, Map<String, Double> weights) {
        return held.entrySet().stream()
                .allMatch(entry -> entry.getValue().equals(weights.get(entry.getKey())));
    }
}
