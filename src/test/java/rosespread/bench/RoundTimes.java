package rosespread.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Locale;
import rosespread.policy.Deployment;
import rosespread.policy.FleetSimulator;

/**
 * Prints the CPU time of the routing policy's rounds in microseconds, for 200 nodes and 800 proxies
 * that join at once and report for 60 s while some nodes restart. The figures are medians of five
 * runs, after one warm-up run.
 */
public final class RoundTimes {
    private static final int RUNS = 5;
    private static final int SECONDS = 60;
    private static final int PROXIES = 800;
    private static final int SECONDS_BETWEEN_RESTARTS = 6;
    private static final int RESTARTED_NODES = 2;
    private static final double NANOS_PER_MICRO = 1e3;

    private RoundTimes() {}

    public static void main(String[] args) {
        roundNanos();
        double[] worst = new double[RUNS];
        double[] joining = new double[RUNS];
        double[] mean = new double[RUNS];
        for (int i = 0; i < RUNS; i++) {
            long[] nanos = roundNanos();
            worst[i] = Arrays.stream(nanos).max().orElseThrow() / NANOS_PER_MICRO;
            joining[i] = nanos[0] / NANOS_PER_MICRO;
            mean[i] = Arrays.stream(nanos).average().orElseThrow() / NANOS_PER_MICRO;
        }
        System.out.printf(
                Locale.ROOT,
                "worst round %.0f us, joining round %.0f us, mean round %.0f us%n",
                median(worst),
                median(joining),
                median(mean));
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values[RUNS / 2];
    }

    /** Returns the CPU times of one run's rounds in nanoseconds; all proxies join in the first. */
    private static long[] roundNanos() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        FleetSimulator fleet =
                new FleetSimulator(Deployment.LARGE, 1, threads::getCurrentThreadCpuTime);
        fleet.join(0, PROXIES);
        for (int second = 0; second < SECONDS; second++) {
            if (second % SECONDS_BETWEEN_RESTARTS == SECONDS_BETWEEN_RESTARTS - 1) {
                fleet.restart(second, second + RESTARTED_NODES);
            }
            fleet.run(1);
        }
        return fleet.roundTimes().toArray();
    }
}
