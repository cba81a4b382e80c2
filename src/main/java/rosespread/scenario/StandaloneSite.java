package rosespread.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import rosespread.testbed.FakeNodeList;
import rosespread.testbed.FakeNodes;
import rosespread.testbed.FakeProxies;
import rosespread.testbed.OpenLoopClients;
import rosespread.testbed.RpcResult;
import rosespread.testbed.TestLoop;
import rosespread.testbed.TrafficRecorder;

/** Runs a scenario's fakes without its controllers and faults, for controllers started by hand. */
public final class StandaloneSite {
    private static final long PROGRESS_PERIOD_NANOS = 5_000_000_000L;

    private final Scenario scenario;
    private final long seed;
    private final TestLoop loop;
    private final PrintStream out;
    private final CountDownLatch done = new CountDownLatch(1);
    private final Progress progress = new Progress();

    private StandaloneSite(Scenario scenario, long seed, TestLoop loop, PrintStream out) {
        this.scenario = scenario;
        this.seed = seed;
        this.loop = loop;
        this.out = out;
    }

    /**
     * Returns the settings for a controller of the scenario, as JSON.
     *
     * @throws ScenarioException if the scenario is missing or invalid, with file, line and field
     */
    public static String settings(String nameOrPath, long seed, int listPort)
            throws IOException, ScenarioException {
        return ScenarioReader.load(nameOrPath).settings(seed, listPort, List.of());
    }

    /**
     * Runs nodes, node list, proxies and clients for the scenario's duration. Without controllers,
     * runs only nodes and node list, until the thread is interrupted.
     *
     * @param listPort port of the node list; 0 for any free port
     * @param controllers addresses of the controllers' channels
     * @param out receives a progress line every 5 s
     * @throws ScenarioException if the scenario is missing or invalid, with file, line and field
     * @throws IOException if a fake cannot be started
     */
    public static void run(
            String nameOrPath,
            long seed,
            int listPort,
            List<InetSocketAddress> controllers,
            PrintStream out)
            throws IOException, ScenarioException, InterruptedException {
        Scenario scenario = ScenarioReader.load(nameOrPath);
        TrafficRecorder ignored = new TrafficRecorder() {};
        try (TestLoop loop = new TestLoop();
                FakeNodeList list = new FakeNodeList(loop, listPort, ignored);
                FakeNodes nodes =
                        new FakeNodes(
                                loop, scenario.site(), list, new SplittableRandom(seed), ignored)) {
            list.setDelay(scenario.listDelayNanos());
            out.println(nodes.names().size() + " nodes; node list listens on " + list.address());
            StandaloneSite site = new StandaloneSite(scenario, seed, loop, out);
            if (controllers.isEmpty()) {
                site.done.await();
            }
            site.runTraffic(list, controllers, ignored);
        }
    }

    private void runTraffic(
            FakeNodeList list, List<InetSocketAddress> controllers, TrafficRecorder recorder)
            throws InterruptedException {
        List<FakeProxies.ControllerTarget> targets =
                controllers.stream()
                        .map(
                                address ->
                                        new FakeProxies.ControllerTarget(
                                                address.toString(), address, null))
                        .toList();
        try (FakeProxies proxies =
                new FakeProxies(
                        loop,
                        scenario.site(),
                        list,
                        targets,
                        ArrivalGenerator.requestRates(scenario),
                        scenario.channel().admissionMode() == Scenario.AdmissionMode.SHARE,
                        new SplittableRandom(seed + 1),
                        recorder)) {
            OpenLoopClients clients =
                    new OpenLoopClients(
                            loop, proxies, new SplittableRandom(seed + 2), progress::rpcEnded);
            loop.run(() -> start(proxies, clients));
            done.await();
        }
    }

    private void start(FakeProxies proxies, OpenLoopClients clients) {
        proxies.start();
        clients.play(
                ArrivalGenerator.arrivals(scenario, seed), loop.now() + scenario.warmUpNanos());
        scheduleProgressLine(proxies);
        loop.after(scenario.warmUpNanos() + scenario.durationNanos(), done::countDown);
    }

    private void scheduleProgressLine(FakeProxies proxies) {
        loop.after(
                PROGRESS_PERIOD_NANOS,
                () -> {
                    out.println(progress.describeAndReset(proxies.allSubscribed()));
                    scheduleProgressLine(proxies);
                });
    }

    /** Counts the RPCs since the last progress line. Confined to the loop's thread. */
    private static final class Progress {
        private long rpcs;
        private long inTime;

        void rpcEnded(
                OpenLoopClients.Arrival rpc, RpcResult result, long latencyNanos, int attempts) {
            rpcs++;
            boolean timely =
                    result == RpcResult.OK && latencyNanos <= rpc.method().latencyObjectiveNanos();
            inTime += timely ? 1 : 0;
        }

        String describeAndReset(boolean allSubscribed) {
            String line =
                    String.format(
                            Locale.ROOT,
                            "%d RPCs in 5 s, %.3f in time, %s",
                            rpcs,
                            rpcs == 0 ? 1 : inTime / (double) rpcs,
                            allSubscribed
                                    ? "all proxies subscribed"
                                    : "not all proxies subscribed");
            rpcs = 0;
            inTime = 0;
            return line;
        }
    }
}
