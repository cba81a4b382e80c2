package rosespread.admin;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosespread.audit.AuditLog;
import rosespread.controller.Controller;
import rosespread.drain.Drain;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;
import rosespread.settings.SettingsTest;

/** Two operators send a change at the same time, both based on the same revision. */
class RaceTest {
    private static final long TIMEOUT_NANOS = 5_000_000_000L;

    /** Pairs of concurrent changes: few in a normal build; 1,000 for docs/results.md. */
    private static final int PAIRS = Integer.getInteger("race.pairs", 60);

    @TempDir private Path folder;

    private final Random random = new Random(1);

    /** A change with the targets that the two operators request. */
    private record Change(String method, String anaTarget, String boTarget, String body) {
        static Change ofDrains() {
            return new Change("POST", "/v1/nodes/n/drain?force=true", "/v1/nodes/m/undrain", "");
        }

        static Change ofSettings(String settings) {
            return new Change("PUT", "/v1/settings", "/v1/settings", settings);
        }

        boolean isDrain() {
            return method.equals("POST");
        }
    }

    /** An operator and the client that sends its requests. */
    private record Operator(String name, Fleet fleet, InetSocketAddress address) {
        FleetResponse send(Change change, String target, String[] headers) {
            return fleet.request(address, change.method(), target, change.body(), headers);
        }
    }

    private static HttpServer endpointList() {
        byte[] body =
                ("[{\"Service\":{\"ID\":\"n\",\"Address\":\"127.0.0.1\",\"Port\":9,"
                                + "\"Tags\":[\"zone=a\","
                                + "\"kind=k\"]},\"Checks\":[]},{\"Service\":{\"ID\":\"m\",\"Address\":\"127.0.0.1\","
                                + "\"Port\":10,\"Tags\":[\"zone=a\",\"kind=k\"]},\"Checks\":[]}]")
                        .getBytes(StandardCharsets.UTF_8);
        return new HttpServer(
                1,
                HttpLimits.DEFAULT,
                (request, exchange) -> {
                    if (!request.target().contains("index=7")) {
                        exchange.respond(
                                new HttpMessage.Response(
                                        200, HttpHeaders.of("x-consul-index", "7"), body));
                    }
                });
    }

    @Test
    void appliesOneOfTwoConcurrentChangesAndNamesItsOperatorToTheOther() throws IOException {
        Path log = folder.resolve("audit.log");
        int repeats = 0;
        try (HttpServer list = endpointList()) {
            int port = list.listen(AdminFixture.ANY_PORT).getPort();
            String settings = SettingsTest.VALID_SETTINGS.replace("8500", String.valueOf(port));
            try (AuditLog audit = new AuditLog(log, System::currentTimeMillis);
                    AdminFixture admin = new AdminFixture("race", folder, audit);
                    Fleet anaFleet = fleet(admin, "ana");
                    Fleet boFleet = fleet(admin, "bo")) {
                Operator ana = new Operator("ana", anaFleet, admin.address());
                Operator bo = new Operator("bo", boFleet, admin.address());
                Change first = Change.ofSettings(settings);
                assertEquals(200, ana.send(first, first.anaTarget(), new String[0]).status());
                await().until(() -> admin.controller().status().nodes().size() == 2);
                for (int pair = 0; pair < PAIRS; pair++) {
                    Change change =
                            random.nextBoolean() ? Change.ofDrains() : Change.ofSettings(settings);
                    repeats += race(admin.controller(), ana, bo, change, pair);
                }
            }
        }
        assertEquals("", AuditLog.verify(log).fault());
        long done =
                Files.readAllLines(log).stream().filter(line -> line.contains("200 done")).count();
        assertEquals(1 + PAIRS + repeats, done, "no act is lost");
        assertTrue(repeats > 0);
    }

    private static Fleet fleet(AdminFixture admin, String operator) {
        return new Fleet(List.of(admin.address()), operator, TIMEOUT_NANOS);
    }

    /** Sends the change of both at once; returns how often the winner then repeated its request. */
    private int race(Controller controller, Operator ana, Operator bo, Change change, int pair)
            throws IOException {
        long revision = revision(controller, change);
        String[] anaHeaders = headers(revision, "a" + pair);
        String[] boHeaders = headers(revision, "b" + pair);
        CompletableFuture<FleetResponse> pending =
                CompletableFuture.supplyAsync(() -> bo.send(change, change.boTarget(), boHeaders));
        FleetResponse anaResponse = ana.send(change, change.anaTarget(), anaHeaders);
        FleetResponse boResponse = pending.join();
        boolean anaWon = anaResponse.isOk();
        FleetResponse won = anaWon ? anaResponse : boResponse;
        FleetResponse lost = anaWon ? boResponse : anaResponse;
        Operator winner = anaWon ? ana : bo;
        assertEquals(List.of(200, 412), List.of(won.status(), lost.status()), "pair " + pair);
        assertTrue(lost.detail().contains("by " + winner.name()), lost.detail());
        assertEquals(revision + 1, revision(controller, change));
        if (random.nextInt(4) != 0) {
            return 0;
        }
        // A repeat of the winner's request, as after a lost response, must have no further effect.
        FleetResponse repeated =
                anaWon
                        ? ana.send(change, change.anaTarget(), anaHeaders)
                        : bo.send(change, change.boTarget(), boHeaders);
        assertEquals(200, repeated.status(), repeated.detail());
        assertEquals(revision + 1, revision(controller, change));
        return 1;
    }

    private static String[] headers(long revision, String key) {
        return new String[] {"if-match", String.valueOf(revision), "idempotency-key", key};
    }

    /** Returns the revision that the change is based on: that of all drains, or of the settings. */
    private static long revision(Controller controller, Change change) throws IOException {
        return change.isDrain()
                ? controller.drains().stream().mapToLong(Drain::stamp).max().orElse(0)
                : controller.settings().orElseThrow().revision();
    }
}
