package rosespread.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import rosespread.testbed.TestLoop;

/**
 * Crashes, restarts, suspends and kills controller processes. Processes are ended and started on a
 * thread of each fault's own; the checker is notified on the loop's thread.
 */
final class ControllerFaults {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int DIGEST_RADIX = 16;

    private final ObjectMapper json = new ObjectMapper();
    private final RunEnvironment environment;
    private final TestLoop loop;
    private final InvariantChecker checker;

    ControllerFaults(RunEnvironment environment) {
        this.environment = environment;
        this.loop = environment.loop();
        this.checker = environment.checker();
    }

    /**
     * Starts a fault of a controller; does nothing in a run without controllers. Called on the
     * loop's thread.
     */
    void inject(Fault fault) {
        if (environment.controllers().isEmpty()) {
            return;
        }
        ControllerProcess controller = environment.controllers().get(fault.controllerIndex());
        String name = fault.kind().yamlName() + " of " + controller.name();
        environment.event(name);
        BackgroundTask.start(
                "controller-fault",
                () -> {
                    apply(fault, controller);
                    environment.eventLater(name + ": process is running again");
                },
                e -> environment.eventLater(name + " failed: " + e.getMessage()));
    }

    private void apply(Fault fault, ControllerProcess controller)
            throws IOException, InterruptedException {
        switch (fault.kind()) {
            case CONDUCTOR_STALL -> suspend(fault, controller);
            case CONDUCTOR_CRASH -> crash(fault, controller);
            case CONDUCTOR_KILLS -> killRepeatedly(fault, controller);
            case CONDUCTOR_RESTART -> restart(controller);
            default ->
                    throw new IllegalArgumentException(
                            "expected a fault of a controller, got " + fault.kind());
        }
    }

    private void suspend(Fault fault, ControllerProcess controller)
            throws IOException, InterruptedException {
        long suspendedNanos = loop.now();
        controller.setSuspended(true);
        loop.run(() -> checker.controllerSuspended(controller.name(), suspendedNanos));
        Thread.sleep(fault.durationNanos() / NANOS_PER_MILLI);
        controller.setSuspended(false);
        loop.run(() -> checker.controllerResumed(controller.name(), loop.now()));
    }

    private void crash(Fault fault, ControllerProcess controller)
            throws IOException, InterruptedException {
        controller.kill();
        loop.run(() -> checker.controllerDown(controller.name()));
        Thread.sleep(fault.durationNanos() / NANOS_PER_MILLI);
        controller.start();
    }

    private void restart(ControllerProcess controller) throws IOException {
        controller.stop();
        loop.run(() -> checker.controllerDown(controller.name()));
        controller.start();
    }

    /**
     * Kills and starts a controller repeatedly until the fault ends, each time after a random pause
     * of up to {@link Fault#spanNanos}, and compares the table versions that the controller
     * restored with the versions that proxies acknowledged.
     */
    private void killRepeatedly(Fault fault, ControllerProcess controller)
            throws IOException, InterruptedException {
        int kills = 0;
        // A separate generator, since the number of draws depends on how long a process takes to
        // start and must not change the targets of other faults.
        Random pauseRandom = new Random(environment.seed() ^ fault.startNanos());
        long maxPauseMillis = Math.max(1, fault.spanNanos() / NANOS_PER_MILLI);
        while (environment.elapsedNanos() < fault.endNanos() && !environment.hasEnded()) {
            Thread.sleep(pauseRandom.nextLong(maxPauseMillis));
            killOnce(controller);
            kills++;
        }
        environment.eventLater(controller.name() + " was killed " + kills + " times");
    }

    private void killOnce(ControllerProcess controller) throws IOException {
        controller.kill();
        CompletableFuture<TableVersions> acknowledged = new CompletableFuture<>();
        loop.run(
                () -> {
                    checker.controllerDown(controller.name());
                    acknowledged.complete(checker.acknowledgedVersions(controller.name()));
                });
        controller.start();
        TableVersions restored = readVersions(controller);
        TableVersions before = acknowledged.join();
        loop.run(() -> checker.controllerRestored(loop.now(), controller.name(), before, restored));
    }

    private TableVersions readVersions(ControllerProcess controller) throws IOException {
        TableVersions versions = new TableVersions();
        for (JsonNode table : json.readTree(controller.getWhenUp("/v1/tables").body())) {
            int id = table.path("table").asInt();
            for (JsonNode version : table.path("versions")) {
                versions.add(
                        id,
                        version.path("number").asLong(),
                        Long.parseUnsignedLong(version.path("digest").asText(), DIGEST_RADIX));
            }
        }
        return versions;
    }
}
