package rosespread.rehearse;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import rosespread.standin.Clients;
import rosespread.standin.ListStandin;
import rosespread.standin.Loop;
import rosespread.standin.NodeFarm;
import rosespread.standin.ProxyFarm;
import rosespread.standin.ProxyStandin;
import rosespread.standin.Record;

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
        return ScenarioReader.named(nameOrPath).settings(seed, listPort, List.of());
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
        Scenario scenario = ScenarioReader.named(nameOrPath);
        Record record = new Record() {};
        CountDownLatch done = new CountDownLatch(1);
        long[] tally = new long[2];
        try (Loop loop = new Loop();
                ListStandin list = new ListStandin(loop, listPort, record);
                NodeFarm nodes =
                        new NodeFarm(
                                loop, scenario.site(), list, new SplittableRandom(seed), record)) {
            list.late(scenario.listLate());
            out.println(nodes.names().size() + " nodes; the list answers at " + list.address());
            if (conductors.isEmpty()) {
                done.await();
            }
            List<ProxyFarm.Target> targets = new ArrayList<>();
            conductors.forEach(at -> targets.add(new ProxyFarm.Target(at.toString(), at, null)));
            try (ProxyFarm proxies =
                    new ProxyFarm(
                            loop,
                            scenario.site(),
                            list,
                            targets,
                            Draw.rates(scenario),
                            scenario.channel().levels().equals("share"),
                            new SplittableRandom(seed + 1),
                            record)) {
                Clients clients =
                        new Clients(
                                loop,
                                proxies,
                                new SplittableRandom(seed + 2),
                                (rpc, result, latency, tries) -> {
                                    tally[0]++;
                                    tally[1] +=
                                            result == ProxyStandin.Result.OK
                                                            && latency
                                                                    <= rpc.method().softDeadline()
                                                    ? 1
                                                    : 0;
                                });
                loop.run(
                        () -> {
                            proxies.start();
                            clients.play(Draw.day(scenario, seed), loop.now() + scenario.warmUp());
                            tell(loop, tally, proxies, out);
                            loop.after(scenario.warmUp() + scenario.lasts(), done::countDown);
                        });
                done.await();
            }
        }
    }

    private static void tell(Loop loop, long[] tally, ProxyFarm proxies, PrintStream out) {
        loop.after(
                TELL_EVERY,
                () -> {
                    out.println(
                            String.format(
                                    Locale.ROOT,
                                    "%d RPCs in 5 s, %.3f in time, %s",
                                    tally[0],
                                    tally[0] == 0 ? 1 : tally[1] / (double) tally[0],
                                    proxies.allBound()
                                            ? "all proxies bound"
                                            : "not all proxies bound"));
                    tally[0] = 0;
                    tally[1] = 0;
                    tell(loop, tally, proxies, out);
                });
    }
}
