package rosespread.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.stream.Stream;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;
import rosespread.testbed.FakeNodeList;
import rosespread.testbed.FakeNodes;
import rosespread.testbed.FakeProxies;
import rosespread.testbed.OpenLoopClients;
import rosespread.testbed.TestLoop;

/**
 * Plays a scenario on the loopback interface. The controllers run as processes of their own; the
 * fakes of proxies, clients, nodes and node list run in this process, and an invariant checker
 * observes the traffic at the fakes' sockets. Driven by the calling thread, which waits while fakes
 * and checker work on the loop's thread.
 */
public final class ScenarioRun {
    /**
     * Options of a scenario run.
     *
     * @param seed seeds the arrivals, the targets of faults, and the random draws of the fakes
     * @param withController whether controllers run; without them proxies keep their initial tables
     * @param mainClass the main class of the controller processes
     * @param arguments put before the regular arguments of a controller process
     */
    public record Options(
            long seed, boolean withController, String mainClass, List<String> arguments) {}

    private static final long SAMPLE_PERIOD_NANOS = 50_000_000L;

    /** Longest wait for pending RPCs after the end of the measurement. */
    private static final long MAX_PENDING_RPC_WAIT_NANOS = 10_000_000_000L;

    /** Makes the random draws of proxies and clients differ from those of the nodes. */
    private static final long TRAFFIC_SEED_MASK = 0x5eed;

    private static final int HTTP_CONNECT_MILLIS = 300;
    private static final int HTTP_IDLE_SECONDS = 5;

    private final Scenario scenario;
    private final Options options;
    private final ObjectMapper json = new ObjectMapper();
    private final TestLoop loop = new TestLoop();
    private final HttpClient http =
            new HttpClient(1, HttpLimits.DEFAULT, HTTP_CONNECT_MILLIS, HTTP_IDLE_SECONDS);
    private final List<ControllerProcess> controllers = new ArrayList<>();
    private final RunEnd end = new RunEnd();
    private final Report report;
    private final InvariantChecker checker;
    private FakeNodeList list;
    private FakeNodes nodes;
    private FakeProxies proxies;
    private OpenLoopClients clients;
    private long measurementStartNanos;

    private ScenarioRun(Scenario scenario, Options options) {
        this.scenario = scenario;
        this.options = options;
        this.report = new Report(scenario, options.seed());
        this.checker = new InvariantChecker(scenario, loop.now());
    }

    /**
     * Plays the scenario of a name or path. Blocks for its warm-up and measurement, and until
     * pending RPCs have ended or the wait for them has timed out.
     *
     * @throws ScenarioException if the scenario is missing or invalid
     * @throws IOException if a controller or fake cannot be started, a controller does not accept
     *     its settings, or not all proxies are subscribed at the end of the warm-up
     */
    public static Report play(String nameOrPath, Options options)
            throws IOException, ScenarioException {
        Scenario scenario = ScenarioReader.load(nameOrPath);
        Path folder = Files.createTempDirectory("rosespread-scenario");
        ScenarioRun run = new ScenarioRun(scenario, options);
        try {
            run.run(folder);
        } finally {
            run.close();
        }
        if (run.report.hasPassed()) {
            deleteTree(folder);
        } else {
            run.report.addLogFolder(folder);
        }
        return run.report;
    }

    private static void deleteTree(Path folder) throws IOException {
        try (Stream<Path> all = Files.walk(folder)) {
            for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    private void run(Path folder) throws IOException {
        runOnLoop(this::startNodes);
        startControllers(folder);
        warmUp();
        runMeasurement();
        for (ControllerProcess controller : controllers) {
            if (controller.isAlive()) {
                report.addRefusals(json.readTree(controller.getWhenUp("/v1/tables").body()));
            }
        }
        runOnLoop(
                () -> {
                    end.markEnded();
                    checker.end(loop.now());
                    report.complete(checker, loop.now(), controllers);
                });
    }

    private void startNodes() throws IOException {
        SplittableRandom random = new SplittableRandom(options.seed());
        list = new FakeNodeList(loop, 0, checker);
        nodes = new FakeNodes(loop, scenario.site(), list, random.split(), checker);
        list.setDelay(scenario.listDelayNanos());
    }

    private void startControllers(Path folder) throws IOException {
        for (int i = 0; options.withController() && i < scenario.controllerCount(); i++) {
            ControllerProcess controller =
                    new ControllerProcess(
                            "c" + i, folder, options.mainClass(), options.arguments(), http);
            controllers.add(controller);
            controller.start();
        }
        List<String> peers =
                controllers.stream()
                        .map(ControllerProcess::controlAddress)
                        .map(address -> address.getHostString() + ":" + address.getPort())
                        .toList();
        int listPort = list.address().getPort();
        for (ControllerProcess controller : controllers) {
            controller.putSettings(scenario.settings(options.seed(), listPort, peers));
        }
    }

    /** Starts proxies and clients, and waits for the end of the warm-up. */
    private void warmUp() throws IOException {
        List<OpenLoopClients.Arrival> arrivals =
                ArrivalGenerator.arrivals(scenario, options.seed());
        CompletableFuture<Void> ready = new CompletableFuture<>();
        runOnLoop(
                () -> {
                    startTraffic(arrivals);
                    sample();
                    loop.after(scenario.warmUpNanos(), () -> checkSubscriptions(ready));
                });
        await(ready);
    }

    private void startTraffic(List<OpenLoopClients.Arrival> arrivals) {
        SplittableRandom random = new SplittableRandom(options.seed() ^ TRAFFIC_SEED_MASK);
        proxies =
                new FakeProxies(
                        loop,
                        scenario.site(),
                        list,
                        controllerTargets(),
                        ArrivalGenerator.requestRates(scenario),
                        scenario.channel().admissionMode() == Scenario.AdmissionMode.SHARE,
                        random.split(),
                        checker);
        clients = new OpenLoopClients(loop, proxies, random.split(), report::rpcEnded);
        measurementStartNanos = loop.now() + scenario.warmUpNanos();
        report.setMeasurementStart(measurementStartNanos);
        checker.setMeasurementStart(measurementStartNanos);
        proxies.start();
        clients.play(arrivals, measurementStartNanos);
    }

    /** Spreads several controllers over the zones; a single controller serves all zones. */
    private List<FakeProxies.ControllerTarget> controllerTargets() {
        List<String> zones = scenario.site().zones();
        List<FakeProxies.ControllerTarget> targets = new ArrayList<>();
        for (int i = 0; i < controllers.size(); i++) {
            ControllerProcess controller = controllers.get(i);
            String zone = controllers.size() < 2 ? null : zones.get(i % zones.size());
            targets.add(
                    new FakeProxies.ControllerTarget(
                            controller.name(), controller.channelAddress(), zone));
        }
        return targets;
    }

    private void sample() {
        checker.sample(loop.now());
        report.sampleProcesses(controllers);
        if (!end.hasEnded()) {
            loop.after(SAMPLE_PERIOD_NANOS, this::sample);
        }
    }

    private void checkSubscriptions(CompletableFuture<Void> ready) {
        if (controllers.isEmpty() || proxies.allSubscribed()) {
            ready.complete(null);
        } else {
            ready.completeExceptionally(
                    new IOException(
                            "not all proxies are subscribed at the end of the warm-up; see "
                                    + controllers.get(0).logFile()));
        }
    }

    private void runMeasurement() throws IOException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        runOnLoop(
                () -> {
                    report.startCpuMeasurement(controllers);
                    FaultInjector faults =
                            new FaultInjector(environment(), new FaultTargets(options.seed()));
                    scenario.faults().forEach(faults::schedule);
                    loop.after(scenario.durationNanos(), () -> awaitPendingRpcs(done));
                });
        await(done);
    }

    private RunEnvironment environment() {
        return new RunEnvironment(
                scenario,
                options.seed(),
                loop,
                list,
                nodes,
                proxies,
                controllers,
                checker,
                report,
                measurementStartNanos,
                end);
    }

    private void awaitPendingRpcs(CompletableFuture<Void> done) {
        long waitedNanos = loop.now() - measurementStartNanos - scenario.durationNanos();
        if (clients.pending() == 0 || waitedNanos > MAX_PENDING_RPC_WAIT_NANOS) {
            done.complete(null);
        } else {
            loop.after(SAMPLE_PERIOD_NANOS, () -> awaitPendingRpcs(done));
        }
    }

    /** An action to run on the loop's thread. */
    @FunctionalInterface
    private interface Step {
        void run() throws IOException;
    }

    /** Runs a step on the loop's thread and waits until the step has ended. */
    private void runOnLoop(Step step) throws IOException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.run(
                () -> {
                    try {
                        step.run();
                        done.complete(null);
                    } catch (IOException | RuntimeException e) {
                        done.completeExceptionally(e);
                    }
                });
        await(done);
    }

    private static void await(CompletableFuture<Void> future) throws IOException {
        try {
            future.get();
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException io ? io : new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private void close() {
        controllers.stream().filter(ControllerProcess::isAlive).forEach(ControllerProcess::kill);
        http.close();
        if (proxies != null) {
            proxies.close();
        }
        if (nodes != null) {
            nodes.close();
        }
        if (list != null) {
            list.close();
        }
        loop.close();
    }
}
