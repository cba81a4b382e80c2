package rosespread.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import rosespread.controller.Controller;
import rosespread.validation.TableChangeValidator;

/**
 * Calls of parts that could be right, put together anyhow, and bytes that are no call: none is a
 * 500 or hangs.
 */
class AdminFuzzTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final List<String> VERBS =
            List.of("GET", "PUT", "POST", "DELETE", "PATCH", "get", "");
    private static final List<String> PARTS =
            List.of(
                    "/",
                    "v1",
                    "settings",
                    "tables",
                    "nodes",
                    "1",
                    "99999",
                    "x",
                    "%00",
                    "%zz",
                    "%",
                    "diff",
                    "rollback",
                    "drain",
                    "undrain",
                    "?",
                    "from=1",
                    "&",
                    "to=2",
                    "version=",
                    "999999999999999999",
                    "force=true",
                    "dry-run=true",
                    "..",
                    "//",
                    "drains",
                    "acts",
                    "é");
    private static final List<String> HEADERS =
            List.of(
                    "if-match: 1",
                    "if-match: \"x\"",
                    "if-match: *",
                    "idempotency-key: ",
                    "idempotency-key: " + "k".repeat(100),
                    "x-operator: a\tb",
                    "x-operator: ana",
                    "expect: 100-continue",
                    "transfer-encoding: chunked",
                    "content-length: 5");
    private static final List<String> BODIES =
            List.of("", "{", "{}", "[]", "null", "\u0000", "5\r\nabc");

    private static Path folder;
    private static Controller conductor;
    private static AdminServer control;
    private static InetSocketAddress at;

    @BeforeContainer
    static void begin() throws IOException {
        folder = Files.createTempDirectory("rosespread-fuzz");
        conductor = new Controller("fuzz", folder, Controller.ROUTING_POLICY, new TableChangeValidator());
        conductor.start(ANY);
        control = new AdminServer(conductor);
        at = control.listen(ANY);
    }

    @AfterContainer
    static void end() throws IOException {
        control.close();
        conductor.close();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private static <T> T one(Random random, List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    private static byte[] call(Random random) {
        if (random.nextInt(6) == 0) {
            byte[] noise = new byte[1 + random.nextInt(300)];
            random.nextBytes(noise);
            return noise;
        }
        StringBuilder target = new StringBuilder(random.nextInt(4) == 0 ? "" : "/v1/");
        for (int i = random.nextInt(6); i >= 0; i--) {
            target.append(one(random, PARTS)).append(random.nextBoolean() ? "/" : "");
        }
        StringBuilder all =
                new StringBuilder(one(random, VERBS) + " " + target + " HTTP/1.1\r\nhost: x\r\n");
        for (int i = random.nextInt(4); i > 0; i--) {
            all.append(one(random, HEADERS)).append("\r\n");
        }
        String body = one(random, BODIES);
        if (random.nextBoolean()) {
            all.append("content-length: ").append(body.length()).append("\r\n");
        }
        return all.append("connection: close\r\n\r\n")
                .append(body)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * The status of the first answer; 0 if the connection was closed without, -1 if nothing came.
     */
    private static int status(byte[] call, boolean whole) throws IOException {
        try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(call);
            if (!whole) {
                // What the server still waits for does not come.
                socket.shutdownOutput();
            }
            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            return answer.startsWith("HTTP/1.1 ") ? Integer.parseInt(answer.substring(9, 12)) : 0;
        } catch (java.net.SocketTimeoutException e) {
            return -1;
        } catch (java.net.SocketException e) {
            return 0;
        }
    }

    @Property(tries = 1500, seed = "1")
    void noCallIsAnErrorOfOursOrHangs(@ForAll long seed) throws IOException {
        byte[] call = call(new Random(seed));
        String what = new String(call, StandardCharsets.ISO_8859_1);
        String head = what.contains("\r\n\r\n") ? what.substring(0, what.indexOf("\r\n\r\n")) : "";
        int status =
                status(
                        call,
                        !head.isEmpty()
                                && !head.contains("transfer-")
                                && !head.contains("length: 5"));
        assertNotEquals(500, status, what);
        assertNotEquals(-1, status, "no answer and no close: " + what);
        int health =
                status(
                        "GET /v1/health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII),
                        true);
        assertEquals(503, health, "still there after " + what);
    }
}
