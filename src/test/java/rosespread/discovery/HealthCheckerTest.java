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
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long TIMEOUT = 150_000_000L;

    /** A node that answers after the deadline has timed out, and its late answer is nobody's. */
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
    void tellsOneVerdict(String node, HealthCheckResult verdict) throws IOException {
        List<HttpServer.Exchange> late = new CopyOnWriteArrayList<>();
        List<HealthCheckResult> told = new CopyOnWriteArrayList<>();
        try (HttpServer server =
                        new HttpServer(
                                1,
                                HttpLimits.DEFAULT,
                                (call, exchange) -> {
                                    switch (node) {
                                        case "late" -> late.add(exchange);
                                        case "closes" -> exchange.abort();
                                        default ->
                                                exchange.respond(
                                                        HttpMessage.Response.of(
                                                                Integer.parseInt(node),
                                                                "text/plain",
                                                                ""));
                                    }
                                });
                HttpClient http = new HttpClient(1, HttpLimits.DEFAULT, 300, 5)) {
            InetSocketAddress at = server.listen(ANY);
            if (node.equals("down")) {
                try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    at = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
                }
            }
            HealthChecker prober = new HealthChecker(http, "/health", TIMEOUT);
            prober.check(at, told::add);
            await().until(() -> told.size() == 1);
            late.forEach(
                    exchange -> exchange.respond(HttpMessage.Response.of(200, "text/plain", "")));
            prober.check(at, told::add);
            await().until(() -> told.size() == 2);
            assertEquals(List.of(verdict, verdict), told);
        }
    }
}
