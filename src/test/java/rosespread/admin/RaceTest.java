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
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;
import rosespread.settings.SettingsTest;
import rosespread.validation.TableChangeValidator;

/** Two operators who act at once, each against the revision that both have seen. */
class RaceTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final long TIMEOUT = 5_000_000_000L;

    /** A few in every build; 1,000 for docs/results.md. */
    private static final int PAIRS = Integer.getInteger("race.pairs", 60);

    @TempDir private Path folder;

    private static HttpServer list() {
        byte[] body =
                ("[{\"Service\":{\"ID\":\"n\",\"Address\":\"127.0.0.1\",\"Port\":9,"
                                + "\"Tags\":[\"zone=a\","
                                + "\"kind=k\"]},\"Checks\":[]},{\"Service\":{\"ID\":\"m\",\"Address\":\"127.0.0.1\","
                                + "\"Port\":10,\"Tags\":[\"zone=a\",\"kind=k\"]},\"Checks\":[]}]")
                        .getBytes(StandardCharsets.UTF_8);
        return new HttpServer(
                1,
                HttpLimits.DEFAULT,
                (call, exchange) -> {
                    if (!call.target().contains("index=7")) {
                        exchange.respond(
                                new HttpMessage.Response(
                                        200, HttpHeaders.of("x-consul-index", "7"), body));
                    }
                });
    }

    @Test
    void oneOfTwoWinsAndTheOtherIsToldByWhom() throws IOException {
        HttpServer list = list();
        String settings =
                SettingsTest.GOOD.replace("8500", String.valueOf(list.listen(ANY).getPort()));
        Controller conductor =
                new Controller("race", folder, Controller.ROUTING_POLICY, new TableChangeValidator());
        conductor.start(ANY);
        Path log = folder.resolve("audit.log");
        Random random = new Random(1);
        int wins = 0;
        int repeats = 0;
        try (AuditLog audit = new AuditLog(log, System::currentTimeMillis);
                AdminServer control = new AdminServer(conductor, audit)) {
            InetSocketAddress at = control.listen(ANY);
            try (Fleet ana = new Fleet(List.of(at), "ana", TIMEOUT);
                    Fleet bo = new Fleet(List.of(at), "bo", TIMEOUT)) {
                assertEquals(200, ana.ask(at, "PUT", "/v1/settings", settings).status());
                await().until(() -> conductor.state().nodes().size() == 2);
                for (int pair = 0; pair < PAIRS; pair++) {
                    boolean drains = random.nextBoolean();
                    long revision =
                            drains
                                    ? words(conductor)
                                    : conductor.settings().orElseThrow().revision();
                    String verb = drains ? "POST" : "PUT";
                    String ofAna = drains ? "/v1/nodes/n/drain?force=true" : "/v1/settings";
                    String ofBo = drains ? "/v1/nodes/m/undrain" : "/v1/settings";
                    String body = drains ? "" : settings;
                    String[] anas = {
                        "if-match", String.valueOf(revision), "idempotency-key", "a" + pair
                    };
                    String[] bos = {
                        "if-match", String.valueOf(revision), "idempotency-key", "b" + pair
                    };
                    CompletableFuture<FleetResponse> other =
                            CompletableFuture.supplyAsync(() -> bo.ask(at, verb, ofBo, body, bos));
                    FleetResponse one = ana.ask(at, verb, ofAna, body, anas);
                    FleetResponse two = other.join();
                    boolean first = one.isOk();
                    assertEquals(
                            List.of(200, 412),
                            first
                                    ? List.of(one.status(), two.status())
                                    : List.of(two.status(), one.status()),
                            "pair " + pair);
                    FleetResponse lost = first ? two : one;
                    assertTrue(
                            lost.detail().contains("by " + (first ? "ana" : "bo")), lost.detail());
                    assertEquals(
                            revision + 1,
                            drains
                                    ? words(conductor)
                                    : conductor.settings().orElseThrow().revision());
                    wins++;
                    if (random.nextInt(4) == 0) {
                        // The winner's answer was lost, so it calls again: nothing more comes of
                        // it.
                        FleetResponse again =
                                first
                                        ? ana.ask(at, verb, ofAna, body, anas)
                                        : bo.ask(at, verb, ofBo, body, bos);
                        assertEquals(200, again.status(), again.detail());
                        assertEquals(
                                revision + 1,
                                drains
                                        ? words(conductor)
                                        : conductor.settings().orElseThrow().revision());
                        repeats++;
                    }
                }
            }
        } finally {
            conductor.close();
            list.close();
        }
        assertEquals("", AuditLog.verify(log).fault());
        long done =
                Files.readAllLines(log).stream().filter(line -> line.contains("200 done")).count();
        assertEquals(1 + wins + repeats, done, "no act is lost");
        assertTrue(repeats > 0);
    }

    /** The revision of all words on nodes. */
    private static long words(Controller conductor) throws IOException {
        return conductor.drains().stream().mapToLong(word -> word.stamp()).max().orElse(0);
    }
}
