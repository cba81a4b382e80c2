package rosespread.scenario;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import rosespread.testbed.FakeNodeList;
import rosespread.testbed.FakeNodes;
import rosespread.testbed.FakeProxies;
import rosespread.testbed.FakeProxy;
import rosespread.testbed.OpenLoopClients;
import rosespread.testbed.TestLoop;
import rosespread.testbed.TrafficRecorder;

/**
 * A scenario's stand-ins without its conductors and troubles, for conductors that were started by
 * hand.
 */
public final class OpenSite {
    private static final long SECOND = 1_000_000_000L;
    private static final long TELL_EVERY = 5 * SECOND;

    private OpenSite() {}

    /** The settings that a conductor of this scenario is given, as JSON. */
    public static String settings(String nameOrPath, long seed, int listPort)
            throws IOException, ScenarioException {
        return ScenarioReader.load(nameOrPath).settings(seed, listPort, List.of());
    }

    /**
     * Runs nodes and list, and proxies and clients if there are conductors, for the scenario's
     * time.
     */
    public static void run(
            String nameOrPath,
            long seed,
            int listPort,
            List<InetSocketAddress> conductors,
            PrintStream out)
            throws IOException, ScenarioException, InterruptedException {
        Scenario scenario = ScenarioReader.load(nameOrPath);
        TrafficRecorder record = new TrafficRecorder() {};
        CountDownLatch done = new CountDownLatch(1);
        long[] tally = new long[2];
        try (TestLoop loop = new TestLoop();
                FakeNodeList list = new FakeNodeList(loop, listPort, record);
                FakeNodes nodes =
                        new FakeNodes(
                                loop, scenario.site(), list, new SplittableRandom(seed), record)) {
            list.setDelay(scenario.listDelayNanos());
            out.println(nodes.names().size() + " nodes; the list answers at " + list.address());
            if (conductors.isEmpty()) {
                done.await();
            }
            List<FakeProxies.ControllerTarget> targets = new ArrayList<>();
            conductors.forEach(
                    at -> targets.add(new FakeProxies.ControllerTarget(at.toString(), at, null)));
            try (FakeProxies proxies =
                    new FakeProxies(
                            loop,
                            scenario.site(),
                            list,
                            targets,
                            ArrivalGenerator.requestRates(scenario),
                            scenario.channel().admissionMode().equals("share"),
                            new SplittableRandom(seed + 1),
                            record)) {
                OpenLoopClients clients =
                        new OpenLoopClients(
                                loop,
                                proxies,
                                new SplittableRandom(seed + 2),
                                (rpc, result, latency, tries) -> {
                                    tally[0]++;
                                    tally[1] +=
                                            result == FakeProxy.Result.OK
                                                            && latency
                                                                    <= rpc.method()
                                                                            .latencyObjectiveNanos()
                                                    ? 1
                                                    : 0;
                                });
                loop.run(
                        () -> {
                            proxies.start();
                            clients.play(
                                    ArrivalGenerator.arrivals(scenario, seed),
                                    loop.now() + scenario.warmUpNanos());
                            tell(loop, tally, proxies, out);
                            loop.after(
                                    scenario.warmUpNanos() + scenario.durationNanos(),
                                    done::countDown);
                        });
                done.await();
            }
        }
    }

    private static void tell(TestLoop loop, long[] tally, FakeProxies proxies, PrintStream out) {
        loop.after(
                TELL_EVERY,
                () -> {
                    out.println(
                            String.format(
                                    Locale.ROOT,
                                    "%d RPCs in 5 s, %.3f in time, %s",
                                    tally[0],
                                    tally[0] == 0 ? 1 : tally[1] / (double) tally[0],
                                    proxies.allSubscribed()
                                            ? "all proxies bound"
                                            : "not all proxies bound"));
                    tally[0] = 0;
                    tally[1] = 0;
                    tell(loop, tally, proxies, out);
                });
    }
}
