package rosespread.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

/**
 * Sends requests assembled at random from plausible parts, and random bytes. The API must neither
 * respond with status 500 nor hang.
 */
class AdminFuzzTest {
    private static final List<String> METHODS =
            List.of("GET", "PUT", "POST", "DELETE", "PATCH", "get", "");
    private static final List<String> TARGET_PARTS =
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
    private static AdminFixture admin;

    @BeforeContainer
    static void startServer() throws IOException {
        folder = Files.createTempDirectory("rosespread-fuzz");
        admin = new AdminFixture("fuzz", folder, null);
    }

    @AfterContainer
    static void stopServer() throws IOException {
        admin.close();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private static <T> T pick(Random random, List<T> of) {
        return of.get(random.nextInt(of.size()));
    }

    private static byte[] randomRequest(Random random) {
        if (random.nextInt(6) == 0) {
            byte[] randomBytes = new byte[1 + random.nextInt(300)];
            random.nextBytes(randomBytes);
            return randomBytes;
        }
        StringBuilder target = new StringBuilder(random.nextInt(4) == 0 ? "" : "/v1/");
        for (int i = random.nextInt(6); i >= 0; i--) {
            target.append(pick(random, TARGET_PARTS)).append(random.nextBoolean() ? "/" : "");
        }
        StringBuilder message =
                new StringBuilder(
                        pick(random, METHODS) + " " + target + " HTTP/1.1\r\nhost: x\r\n");
        for (int i = random.nextInt(4); i > 0; i--) {
            message.append(pick(random, HEADERS)).append("\r\n");
        }
        String body = pick(random, BODIES);
        if (random.nextBoolean()) {
            message.append("content-length: ").append(body.length()).append("\r\n");
        }
        return message.append("connection: close\r\n\r\n")
                .append(body)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the status of the first response; 0 if the connection was closed without one, -1 if
     * nothing arrived in time.
     */
    private static int status(byte[] request, boolean complete) throws IOException {
        try (Socket socket = new Socket(admin.address().getAddress(), admin.address().getPort())) {
            socket.setSoTimeout(5_000);
            socket.getOutputStream().write(request);
            if (!complete) {
                // Ends the request, since the rest that the server may wait for never comes.
                socket.shutdownOutput();
            }
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            return response.startsWith("HTTP/1.1 ")
                    ? Integer.parseInt(response.substring(9, 12))
                    : 0;
        } catch (SocketTimeoutException e) {
            return -1;
        } catch (SocketException e) {
            return 0;
        }
    }

    @Property(tries = 1500, seed = "1")
    void answersAnyRequestWithoutInternalErrorOrHang(@ForAll long seed) throws IOException {
        byte[] request = randomRequest(new Random(seed));
        String requestText = new String(request, StandardCharsets.ISO_8859_1);
        String head =
                requestText.contains("\r\n\r\n")
                        ? requestText.substring(0, requestText.indexOf("\r\n\r\n"))
                        : "";
        int status =
                status(
                        request,
                        !head.isEmpty()
                                && !head.contains("transfer-")
                                && !head.contains("length: 5"));
        assertNotEquals(500, status, requestText);
        assertNotEquals(-1, status, "neither a response nor a close: " + requestText);
        int health =
                status(
                        "GET /v1/health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII),
                        true);
        assertEquals(503, health, "health after " + requestText);
    }
}
