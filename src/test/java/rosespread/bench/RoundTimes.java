package rosespread.bench;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.Locale;
import rosespread.policy.Deployment;
import rosespread.policy.FleetSimulator;

/**
 * Prints the CPU time of the routing policy's rounds in microseconds, for 200 nodes and 800 proxies
 * that join at once and report for 60 s while some nodes restart: medians of five runs after one to
 * warm up.
 */
public final class RoundTimes {
    private static final int RUNS = 5;
    private static final int SECONDS = 60;

    private RoundTimes() {}

    public static void main(String[] args) {
        run();
        double[] worst = new double[RUNS];
        double[] joining = new double[RUNS];
        double[] mean = new double[RUNS];
        for (int i = 0; i < RUNS; i++) {
            long[] times = run();
            worst[i] = Arrays.stream(times).max().orElseThrow() / 1e3;
            joining[i] = times[0] / 1e3;
            mean[i] = Arrays.stream(times).average().orElseThrow() / 1e3;
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

    /** The first round is the one in which all proxies join. */
    private static long[] run() {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        FleetSimulator fleet =
                new FleetSimulator(Deployment.LARGE, 1, threads::getCurrentThreadCpuTime);
        fleet.join(0, 800);
        for (int second = 0; second < SECONDS; second++) {
            if (second % 6 == 5) {
                fleet.restart(second, second + 2);
            }
            fleet.run(1);
        }
        return fleet.roundTimes().toArray();
    }
}
