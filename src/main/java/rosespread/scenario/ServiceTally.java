package rosespread.scenario;

import org.HdrHistogram.Histogram;
import rosespread.testbed.RpcResult;
import rosespread.testbed.SiteDefinition;

/** Results of RPCs as seen by clients. Written on the loop's thread; read after the run. */
final class ServiceTally {
    private static final int HISTOGRAM_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final double MICROS_PER_MILLI = 1_000;

    private double totalWeight;
    private double servedWeight;
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
     * @param latencyNanos time from when the RPC was due until it ended
     * @param tries how often the client sent the RPC
     */
    void add(SiteDefinition.Method method, RpcResult result, long latencyNanos, int tries) {
        boolean ok = result == RpcResult.OK && latencyNanos <= method.deadlineNanos();
        boolean onTime = ok && latencyNanos <= method.latencyObjectiveNanos();
        double value = onTime ? 1 : ok ? method.lateValueRatio() : 0;
        totalWeight += method.priorityWeight();
        servedWeight += method.priorityWeight() * value;
        rpcs++;
        attempts += tries;
        succeeded += ok ? 1 : 0;
        inTime += onTime ? 1 : 0;
        rejected += result == RpcResult.REJECTED ? 1 : 0;
        failed += !ok && result != RpcResult.REJECTED ? 1 : 0;
        if (ok) {
            latencyMicros.recordValue(latencyNanos / NANOS_PER_MICRO);
        }
    }

    /**
     * The weighted fraction of RPCs that succeeded within their deadline, 0 to 1; 1 if there were
     * no RPCs. An RPC that succeeded after its latency objective counts only a fraction of its
     * weight.
     */
    double service() {
        return totalWeight == 0 ? 1 : servedWeight / totalWeight;
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

    /**
     * A percentile of the latency of RPCs that succeeded within their deadline, in milliseconds.
     */
    double latencyMillis(double percentile) {
        return latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
