package rosespread.discovery;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.EventHandler.HealthCheckResult;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

class HealthCheckerTest {
    private static final InetSocketAddress ANY_LOOPBACK_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long TIMEOUT_NANOS = 150_000_000L;

    /**
     * A node that responds after the deadline counts as timed out; its late response produces no
     * second result.
     */
    @ParameterizedTest
    @CsvSource({
        "200,PASSED",
        "302,PASSED",
        "404,FAILED",
        "500,FAILED",
        "429,REJECTED",
        "503,REJECTED",
        "late,TIMED_OUT",
        "closes,UNREACHABLE",
        "down,UNREACHABLE"
    })
    void reportsOneResultPerCheck(String nodeBehavior, HealthCheckResult expected)
            throws IOException {
        List<HttpServer.Exchange> lateExchanges = new CopyOnWriteArrayList<>();
        List<HealthCheckResult> results = new CopyOnWriteArrayList<>();
        try (HttpServer server =
                        new HttpServer(
                                1,
                                HttpLimits.DEFAULT,
                                (call, exchange) -> {
                                    switch (nodeBehavior) {
                                        case "late" -> lateExchanges.add(exchange);
                                        case "closes" -> exchange.abort();
                                        default ->
                                                exchange.respond(
                                                        HttpMessage.Response.of(
                                                                Integer.parseInt(nodeBehavior),
                                                                "text/plain",
                                                                ""));
                                    }
                                });
                HttpClient http = new HttpClient(1, HttpLimits.DEFAULT, 300, 5)) {
            InetSocketAddress address = server.listen(ANY_LOOPBACK_PORT);
            if (nodeBehavior.equals("down")) {
                try (ServerSocket closedSocket =
                        new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    address =
                            new InetSocketAddress(
                                    closedSocket.getInetAddress(), closedSocket.getLocalPort());
                }
            }
            HealthChecker checker = new HealthChecker(http, "/health", TIMEOUT_NANOS);
            checker.check(address, results::add);
            await().until(() -> results.size() == 1);
            lateExchanges.forEach(
                    exchange -> exchange.respond(HttpMessage.Response.of(200, "text/plain", "")));
            checker.check(address, results::add);
            await().until(() -> results.size() == 2);
            assertEquals(List.of(expected, expected), results);
        }
    }
}
