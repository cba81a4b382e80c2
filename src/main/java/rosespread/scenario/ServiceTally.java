package rosespread.scenario;

import org.HdrHistogram.Histogram;
import rosespread.testbed.RpcResult;
import rosespread.testbed.SiteDefinition;

/** How RPCs ended for the clients. Written on the loop's thread; read after the run. */
final class ServiceTally {
    private static final int HISTOGRAM_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final double MICROS_PER_MILLI = 1_000;

    private double askedWeight;
    private double earnedWeight;
    private long rpcs;
    private long succeeded;
    private long inTime;
    private long rejected;
    private long failed;
    private long attempts;
    private final Histogram latencyMicros = new Histogram(HISTOGRAM_DIGITS);

    /**
     * Counts an RPC.
     *
     * @param latencyNanos from when it was due to its end
     * @param tries how often its client sent it
     */
    void add(SiteDefinition.Method method, RpcResult result, long latencyNanos, int tries) {
        boolean ok = result == RpcResult.OK && latencyNanos <= method.deadlineNanos();
        boolean timely = ok && latencyNanos <= method.latencyObjectiveNanos();
        double value = timely ? 1 : ok ? method.lateValueRatio() : 0;
        askedWeight += method.priorityWeight();
        earnedWeight += method.priorityWeight() * value;
        rpcs++;
        attempts += tries;
        succeeded += ok ? 1 : 0;
        inTime += timely ? 1 : 0;
        rejected += result == RpcResult.REJECTED ? 1 : 0;
        failed += !ok && result != RpcResult.REJECTED ? 1 : 0;
        if (ok) {
            latencyMicros.recordValue(latencyNanos / NANOS_PER_MICRO);
        }
    }

    /** The share of the RPCs' weight that was served, 0 to 1; 1 if there were none. */
    double service() {
        return askedWeight == 0 ? 1 : earnedWeight / askedWeight;
    }

    long rpcs() {
        return rpcs;
    }

    long succeeded() {
        return succeeded;
    }

    long inTime() {
        return inTime;
    }

    long rejected() {
        return rejected;
    }

    long failed() {
        return failed;
    }

    long attempts() {
        return attempts;
    }

    /** A percentile of the latency of RPCs that succeeded, in milliseconds. */
    double latencyMillis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
