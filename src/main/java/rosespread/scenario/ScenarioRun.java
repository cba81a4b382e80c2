package rosespread.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Consumer;
import java.util.stream.Stream;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.testbed.FakeNodeList;
import rosespread.testbed.FakeNodes;
import rosespread.testbed.FakeProxies;
import rosespread.testbed.OpenLoopClients;
import rosespread.testbed.TestLoop;

/**
 * Plays a scenario on loopback: conductors as processes, stand-ins in this one, and an auditor at
 * their sockets.
 */
public final class ScenarioRun {
    /**
     * @param seed draws arrivals, strikes and the stand-ins' chances
     * @param withConductor without one, proxies keep their starting tables
     * @param mainClass what the conductor's process runs; {@code arguments} go before its usual
     *     ones
     */
    public record Options(
            long seed, boolean withController, String mainClass, List<String> arguments) {}

    private static final long SECOND = 1_000_000_000L;
    private static final long SAMPLE = 50_000_000L;

    private final Scenario scenario;
    private final Options options;
    private final Random strikes;
    private final ObjectMapper json = new ObjectMapper();
    private final TestLoop loop = new TestLoop();
    private final HttpClient http = new HttpClient(1, HttpLimits.USUAL, 300, 5);
    private final List<ControllerProcess> conductors = new ArrayList<>();
    private final Report report;
    private InvariantChecker auditor;
    private FakeNodeList list;
    private FakeNodes nodes;
    private FakeProxies proxies;
    private OpenLoopClients clients;
    private long start;
    private boolean over;

    private ScenarioRun(Scenario scenario, Options options) {
        this.scenario = scenario;
        this.options = options;
        this.strikes = new Random(options.seed());
        this.report = new Report(scenario, options.seed());
    }

    /**
     * Plays the scenario of a name or path.
     *
     * @throws ScenarioException if it cannot be played, with file, line and field
     */
    public static Report play(String nameOrPath, Options options)
            throws IOException, ScenarioException {
        Scenario scenario = ScenarioReader.load(nameOrPath);
        Path folder = Files.createTempDirectory("rosespread-rehearsal");
        ScenarioRun rehearsal = new ScenarioRun(scenario, options);
        try {
            rehearsal.run(folder);
        } finally {
            rehearsal.close();
        }
        if (rehearsal.report.kept()) {
            try (Stream<Path> all = Files.walk(folder)) {
                for (Path path : all.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(path);
                }
            }
        } else {
            rehearsal.report.addLogFolder(folder);
        }
        return rehearsal.report;
    }

    private void run(Path folder) throws IOException {
        long made = loop.now();
        auditor = new InvariantChecker(scenario, made);
        onLoop(
                () -> {
                    SplittableRandom random = new SplittableRandom(options.seed());
                    list = new FakeNodeList(loop, 0, auditor);
                    nodes = new FakeNodes(loop, scenario.site(), list, random.split(), auditor);
                    list.setDelay(scenario.listDelayNanos());
                });
        for (int i = 0; options.withController() && i < scenario.controllerCount(); i++) {
            ControllerProcess conductor =
                    new ControllerProcess(
                            "c" + i, folder, options.mainClass(), options.arguments(), http);
            conductors.add(conductor);
            conductor.start();
        }
        for (ControllerProcess conductor : conductors) {
            conductor.putSettings(
                    scenario.settings(
                            options.seed(),
                            list.address().getPort(),
                            conductors.stream()
                                    .map(
                                            c ->
                                                    c.controlAddress().getHostString()
                                                            + ":"
                                                            + c.controlAddress().getPort())
                                    .toList()));
        }
        List<OpenLoopClients.Arrival> day = ArrivalGenerator.arrivals(scenario, options.seed());
        CompletableFuture<Void> ready = new CompletableFuture<>();
        onLoop(
                () -> {
                    SplittableRandom random = new SplittableRandom(options.seed() ^ 0x5eed);
                    List<FakeProxies.ControllerTarget> targets = new ArrayList<>();
                    for (int i = 0; i < conductors.size(); i++) {
                        targets.add(
                                new FakeProxies.ControllerTarget(
                                        conductors.get(i).name(),
                                        conductors.get(i).channelAddress(),
                                        conductors.size() < 2
                                                ? null
                                                : scenario.site()
                                                        .zones()
                                                        .get(i % scenario.site().zones().size())));
                    }
                    proxies =
                            new FakeProxies(
                                    loop,
                                    scenario.site(),
                                    list,
                                    targets,
                                    ArrivalGenerator.requestRates(scenario),
                                    scenario.channel().admissionMode().equals("share"),
                                    random.split(),
                                    auditor);
                    clients = new OpenLoopClients(loop, proxies, random.split(), report::rpcEnded);
                    start = loop.now() + scenario.warmUpNanos();
                    report.setDayStart(start);
                    auditor.dayBegins(start);
                    proxies.start();
                    clients.play(day, start);
                    sample();
                    loop.after(scenario.warmUpNanos(), () -> allBound(ready));
                });
        get(ready);
        CompletableFuture<Void> done = new CompletableFuture<>();
        onLoop(
                () -> {
                    report.startCpuMeasurement(conductors);
                    scenario.faults().forEach(this::plan);
                    loop.after(scenario.durationNanos(), () -> awaitAnswers(done));
                });
        get(done);
        for (ControllerProcess conductor : conductors) {
            if (conductor.isAlive()) {
                report.refused(json.readTree(conductor.getWhenUp("/v1/tables").body()));
            }
        }
        onLoop(
                () -> {
                    over = true;
                    auditor.end(loop.now());
                    report.complete(auditor, loop.now(), conductors);
                });
    }

    private void sample() {
        auditor.sample(loop.now());
        report.sampleProcesses(conductors);
        if (!over) {
            loop.after(SAMPLE, this::sample);
        }
    }

    private void allBound(CompletableFuture<Void> ready) {
        if (conductors.isEmpty() || proxies.allSubscribed()) {
            ready.complete(null);
        } else {
            ready.completeExceptionally(
                    new IOException(
                            "not all proxies were bound in the warm-up; see "
                                    + conductors.get(0).logFile()));
        }
    }

    private void awaitAnswers(CompletableFuture<Void> done) {
        if (clients.pending() == 0 || loop.now() - start > scenario.durationNanos() + 10 * SECOND) {
            done.complete(null);
        } else {
            loop.after(SAMPLE, () -> awaitAnswers(done));
        }
    }

    // ---- troubles ----

    private void plan(Fault trouble) {
        loop.after(trouble.startNanos(), () -> begin(trouble));
    }

    private List<String> some(List<String> all, double share) {
        List<String> drawn = new ArrayList<>(all);
        Collections.sort(drawn);
        Collections.shuffle(drawn, strikes);
        return drawn.subList(
                0, Math.min(drawn.size(), Math.max(1, (int) Math.round(share * drawn.size()))));
    }

    private void event(String text) {
        report.event(loop.now(), text);
    }

    private void begin(Fault trouble) {
        String words = trouble.kind().yamlName();
        switch (trouble.kind()) {
            case NODE_CRASH ->
                    each(
                            trouble,
                            some(nodes.names(), trouble.share()),
                            nodes::crash,
                            nodes::restart);
            case HANG ->
                    each(
                            trouble,
                            some(nodes.names(), trouble.share()),
                            n -> nodes.setHung(n, true),
                            n -> nodes.setHung(n, false));
            case FAST_ABORTS ->
                    each(
                            trouble,
                            some(nodes.names(), trouble.share()),
                            n -> nodes.setAbortRatio(n, Math.min(1, trouble.factor())),
                            n -> nodes.setAbortRatio(n, 0));
            case COLD_START ->
                    each(
                            trouble,
                            some(nodes.names(), trouble.share()),
                            n -> {
                                nodes.crash(n);
                                nodes.restart(n);
                            },
                            n -> {});
            case DRAIN ->
                    each(
                            trouble,
                            some(nodes.names(), trouble.share()),
                            n -> nodes.setDraining(n, true),
                            n -> nodes.setDraining(n, false));
            case ROLLING_DEPLOY -> rolling(trouble);
            case FLAPPING -> flap(trouble, some(nodes.names(), trouble.share()), true);
            case NEIGHBOUR ->
                    each(
                            trouble,
                            some(nodes.names(), trouble.share()),
                            n -> nodes.setSpeedFactor(n, 1 / Math.max(1, trouble.factor())),
                            n -> nodes.setSpeedFactor(n, 1));
            case FALSE_REPORTS ->
                    each(
                            trouble,
                            some(nodes.names(), trouble.share()),
                            n -> nodes.setReportFactor(n, trouble.factor()),
                            n -> nodes.setReportFactor(n, 1));
            case ZONE_LOSS -> {
                each(trouble, nodes.names(trouble.zone()), nodes::crash, nodes::restart);
                each(trouble, proxies.names(trouble.zone()), proxies::crash, proxies::restart);
            }
            case PROXY_CRASH ->
                    each(
                            trouble,
                            some(proxies.names(), trouble.share()),
                            proxies::crash,
                            proxies::restart);
            case STREAM_CUT ->
                    each(
                            trouble,
                            some(proxies.names(), trouble.share()),
                            p -> proxies.setCut(p, true, p.hashCode() % 2 == 0),
                            p -> proxies.setCut(p, false, false));
            case ROLLBACK -> rollback(trouble);
            case OPERATOR_DRAIN -> operatorDrain(trouble, some(nodes.names(), 0).get(0));
            case CONDUCTOR_CRASH, CONDUCTOR_RESTART, CONDUCTOR_STALL, CONDUCTOR_KILLS ->
                    strike(trouble);
            case SLOW_CHANNEL -> {
                proxies.setLinkSlowdown(trouble.factor());
                auditor.linksSlow(loop.now(), trouble.factor());
                after(
                        trouble,
                        () -> {
                            proxies.setLinkSlowdown(1);
                            auditor.linksSlow(loop.now(), 1);
                        });
            }
            case MISSED_DELTAS -> {
                proxies.setDeltaLossRatio(trouble.share());
                after(trouble, () -> proxies.setDeltaLossRatio(0));
            }
            case LATE_REPORTS -> {
                proxies.setReportDelay(trouble.spanNanos());
                after(trouble, () -> proxies.setReportDelay(0));
            }
            case LATE_LIST -> {
                list.setDelay(scenario.listDelayNanos() + trouble.spanNanos());
                after(trouble, () -> list.setDelay(scenario.listDelayNanos()));
            }
            case SILENT_LIST -> listMode(trouble, FakeNodeList.AnswerMode.SILENT);
            case WRONG_LIST -> {
                listMode(trouble, FakeNodeList.AnswerMode.OLDER);
                loop.after(
                        trouble.durationNanos() / 2,
                        () -> list.setMode(FakeNodeList.AnswerMode.ERRORS));
            }
            default -> {
                event(words + " begins");
                loop.after(trouble.durationNanos(), () -> event(words + " ends"));
            }
        }
    }

    private void after(Fault trouble, Runnable ends) {
        event(trouble.kind().yamlName() + " begins");
        loop.after(
                trouble.durationNanos(),
                () -> {
                    event(trouble.kind().yamlName() + " ends");
                    ends.run();
                });
    }

    private void listMode(Fault trouble, FakeNodeList.AnswerMode mode) {
        list.setMode(mode);
        after(trouble, () -> list.setMode(FakeNodeList.AnswerMode.USUAL));
    }

    private void each(
            Fault trouble, List<String> struck, Consumer<String> begins, Consumer<String> ends) {
        event(
                trouble.kind().yamlName()
                        + " strikes "
                        + struck.size()
                        + ": "
                        + String.join(" ", struck));
        struck.forEach(begins);
        loop.after(
                trouble.durationNanos(),
                () -> {
                    event(trouble.kind().yamlName() + " ends");
                    struck.forEach(ends);
                });
    }

    /** One after the other: told as draining, ended after the grace, started anew cold. */
    private void rolling(Fault trouble) {
        List<String> struck = some(nodes.names(), trouble.share());
        event("rolling deploy of " + struck.size() + " nodes begins");
        long grace = scenario.limits().drainTimeoutNanos() + scenario.listDelayNanos();
        for (int i = 0; i < struck.size(); i++) {
            String node = struck.get(i);
            loop.after(
                    trouble.durationNanos() * i / struck.size(),
                    () -> {
                        nodes.setDraining(node, true);
                        loop.after(grace + SECOND, () -> nodes.crash(node));
                        loop.after(grace + 2 * SECOND, () -> nodes.restart(node));
                    });
        }
        loop.after(trouble.durationNanos(), () -> event("rolling deploy: the last node drains"));
    }

    private void flap(Fault trouble, List<String> struck, boolean down) {
        long half = Math.max(SECOND, trouble.spanNanos());
        event("flapping: " + String.join(" ", struck) + (down ? " down" : " up"));
        struck.forEach(down ? nodes::crash : nodes::restart);
        boolean more = loop.now() - start + half < trouble.endNanos();
        if (down || more) {
            loop.after(half, () -> flap(trouble, struck, !down));
        }
    }

    /**
     * An operator goes back to a version drawn from those that are kept, and releases the table at
     * the end.
     */
    private void rollback(Fault trouble) {
        if (conductors.isEmpty()) {
            return;
        }
        ControllerProcess conductor = conductors.get(trouble.controllerIndex());
        int draw = strikes.nextInt(Integer.MAX_VALUE);
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                JsonNode tables =
                                        json.readTree(
                                                conductor.call("GET", "/v1/tables", "").body());
                                if (tables.isEmpty()) {
                                    return;
                                }
                                JsonNode table = tables.get(draw % tables.size());
                                int id = table.path("table").asInt();
                                long version =
                                        table.path("versions")
                                                .get(draw / 64 % table.path("versions").size())
                                                .path("number")
                                                .asLong();
                                long from = loop.now();
                                String path = "/v1/tables/" + id;
                                int status =
                                        conductor
                                                .call(
                                                        "POST",
                                                        path + "/rollback?version=" + version,
                                                        "")
                                                .status();
                                loop.run(
                                        () ->
                                                event(
                                                        "rollback of table "
                                                                + id
                                                                + " of "
                                                                + conductor.name()
                                                                + " from version "
                                                                + table.path("version")
                                                                + " to "
                                                                + version
                                                                + ": "
                                                                + status));
                                Map<String, Double> lines = new TreeMap<>();
                                JsonNode after =
                                        json.readTree(conductor.call("GET", path, "").body());
                                after.path("lines")
                                        .properties()
                                        .forEach(
                                                l ->
                                                        lines.put(
                                                                l.getKey(),
                                                                l.getValue().asDouble()));
                                if (status == 200) {
                                    loop.run(
                                            () ->
                                                    auditor.rollback(
                                                            from, conductor.name(), id, lines));
                                }
                                Thread.sleep(trouble.durationNanos() / 1_000_000);
                                conductor.call("POST", path + "/release", "");
                            } catch (IOException e) {
                                loop.run(
                                        () ->
                                                event(
                                                        "rollback of a table of "
                                                                + conductor.name()
                                                                + ": "
                                                                + e.getMessage()));
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "operator");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * An operator drains a node at all conductors at once and ends it after a while; each
     * conductor's proxies have the grace from its answer on. One that does not answer learns of it
     * from the others.
     */
    private void operatorDrain(Fault trouble, String node) {
        if (conductors.isEmpty()) {
            return;
        }
        String id = "drain-" + trouble.startNanos() + "-" + node;
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                long ends = loop.now() + trouble.durationNanos();
                                List<ControllerProcess> missing = new ArrayList<>(conductors);
                                while (!missing.isEmpty() && loop.now() < ends) {
                                    // As an operator would, the command is repeated where it was
                                    // not answered.
                                    missing.removeIf(
                                            conductor ->
                                                    word(conductor, node, "drain?force=true", id));
                                    Thread.sleep(missing.isEmpty() ? 0 : 300);
                                }
                                Thread.sleep(Math.max(0, (ends - loop.now()) / 1_000_000));
                                for (ControllerProcess conductor : conductors) {
                                    loop.run(
                                            () -> auditor.operatorUndrains(conductor.name(), node));
                                    word(conductor, node, "undrain", id + "-ends");
                                }
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "operator");
        thread.setDaemon(true);
        thread.start();
    }

    private boolean word(ControllerProcess conductor, String node, String verb, String id) {
        String what = verb + " of " + node + " at " + conductor.name() + ": ";
        try {
            HttpMessage.Response answer =
                    conductor.call(
                            "POST",
                            "/v1/nodes/" + node + "/" + verb,
                            "",
                            "idempotency-key",
                            id,
                            "x-operator",
                            "rehearsal");
            loop.run(
                    () -> {
                        event(what + answer.status());
                        if (answer.status() == 200 && verb.startsWith("drain")) {
                            auditor.operatorDrains(loop.now(), conductor.name(), node);
                        }
                    });
            return answer.status() == 200;
        } catch (IOException e) {
            loop.run(() -> event(what + e.getMessage()));
            return false;
        }
    }

    /**
     * Processes are ended and started on a thread of their own: the loop must not wait for them.
     */
    private void strike(Fault trouble) {
        if (conductors.isEmpty()) {
            return;
        }
        ControllerProcess conductor = conductors.get(trouble.controllerIndex());
        String words = trouble.kind().yamlName() + " of " + conductor.name();
        event(words);
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                switch (trouble.kind()) {
                                    case CONDUCTOR_STALL -> {
                                        long from = loop.now();
                                        conductor.setSuspended(true);
                                        loop.run(
                                                () ->
                                                        auditor.conductorStopped(
                                                                conductor.name(), from));
                                        Thread.sleep(trouble.durationNanos() / 1_000_000);
                                        conductor.setSuspended(false);
                                        loop.run(
                                                () ->
                                                        auditor.conductorGoesOn(
                                                                conductor.name(), loop.now()));
                                    }
                                    case CONDUCTOR_CRASH -> {
                                        conductor.kill();
                                        loop.run(() -> auditor.conductorDown(conductor.name()));
                                        Thread.sleep(trouble.durationNanos() / 1_000_000);
                                        conductor.start();
                                    }
                                    case CONDUCTOR_KILLS -> kills(trouble, conductor);
                                    default -> {
                                        conductor.stop();
                                        loop.run(() -> auditor.conductorDown(conductor.name()));
                                        conductor.start();
                                    }
                                }
                                loop.run(() -> event(words + ": it runs again"));
                            } catch (IOException e) {
                                loop.run(() -> event(words + " failed: " + e.getMessage()));
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "strike");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Kills and starts a conductor over and over, at moments drawn up to the trouble's span after
     * it is up, and compares what it has restored with what proxies answered for.
     */
    private void kills(Fault trouble, ControllerProcess conductor)
            throws IOException, InterruptedException {
        int kills = 0;
        // Its own chance: how long a process takes to start must not move what other troubles
        // strike.
        Random moments = new Random(options.seed() ^ trouble.startNanos());
        while (loop.now() - start < trouble.endNanos() && !over) {
            Thread.sleep(moments.nextLong(Math.max(1, trouble.spanNanos() / 1_000_000)));
            conductor.kill();
            kills++;
            CompletableFuture<Map<Integer, TreeMap<Long, Long>>> before = new CompletableFuture<>();
            loop.run(
                    () -> {
                        auditor.conductorDown(conductor.name());
                        before.complete(auditor.answered(conductor.name()));
                    });
            conductor.start();
            Map<Integer, TreeMap<Long, Long>> after = new TreeMap<>();
            JsonNode tables = json.readTree(conductor.getWhenUp("/v1/tables").body());
            tables.forEach(
                    table -> {
                        TreeMap<Long, Long> versions =
                                after.computeIfAbsent(
                                        table.path("table").asInt(), t -> new TreeMap<>());
                        table.path("versions")
                                .forEach(
                                        v ->
                                                versions.put(
                                                        v.path("number").asLong(),
                                                        Long.parseUnsignedLong(
                                                                v.path("digest").asText(), 16)));
                    });
            Map<Integer, TreeMap<Long, Long>> answered = before.join();
            loop.run(() -> auditor.restored(loop.now(), conductor.name(), answered, after));
        }
        int all = kills;
        loop.run(() -> event(conductor.name() + " was killed " + all + " times"));
    }

    // ---- ends ----

    private interface Step {
        void run() throws IOException;
    }

    private void onLoop(Step step) throws IOException {
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
        get(done);
    }

    private static void get(CompletableFuture<Void> future) throws IOException {
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
        conductors.stream().filter(ControllerProcess::isAlive).forEach(ControllerProcess::kill);
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
