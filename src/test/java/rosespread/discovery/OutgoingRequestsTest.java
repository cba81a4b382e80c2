package rosespread.discovery;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.junit.jupiter.api.Test;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;
import rosespread.http.RecordingServer;

/** Compares the requests of the node list client and of the health checker byte for byte. */
class OutgoingRequestsTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final String FIRST_QUERY =
            "GET /v1/health/service/nodes HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n"
                    + "user-agent: agent-7\r\ncontent-length: 0\r\n\r\n";
    private static final String BLOCKING_QUERY =
            "GET /v1/health/service/nodes?index=42&wait=5000ms HTTP/1.1\r\n"
                    + "host: 127.0.0.1:PORT\r\nuser-agent: agent-7\r\ncontent-length: 0\r\n\r\n";
    private static final String HEALTH_CHECK =
            "GET /health HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n" + "content-length: 0\r\n\r\n";

    private static NodeListClient client(
            HttpClient http, RecordingServer server, ScheduledExecutorService timer) {
        return new NodeListClient(
                http,
                server.address(),
                "nodes",
                "agent-7",
                5000 * MILLI_NANOS,
                2000 * MILLI_NANOS,
                1000 * MILLI_NANOS,
                false,
                timer,
                System::nanoTime,
                new SplittableRandom(1),
                new NodeListClient.Listener() {
                    @Override
                    public void nodeListReceived(List<ListedNode> nodes) {}

                    @Override
                    public void nodeListUnavailable(String reason) {}
                });
    }

    @Test
    void sendsExactNodeListRequests() throws IOException {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (RecordingServer server =
                        new RecordingServer(RecordingServer.json("X-Consul-Index: 42\r\n", "[]"));
                HttpClient http = new HttpClient(1, HttpLimits.LARGE, 300, 5);
                NodeListClient client = client(http, server, timer)) {
            client.start();
            await().until(() -> server.requests().size() >= 2);
            assertEquals(List.of(FIRST_QUERY, BLOCKING_QUERY), server.requests().subList(0, 2));
        } finally {
            timer.shutdownNow();
        }
    }

    @Test
    void sendsExactHealthCheckRequest() throws IOException {
        try (RecordingServer server = new RecordingServer(RecordingServer.json("", "{}"));
                HttpClient http = new HttpClient(1, HttpLimits.DEFAULT, 300, 5)) {
            new HealthChecker(http, "/health", 2000 * MILLI_NANOS)
                    .check(server.address(), result -> {});
            await().until(() -> !server.requests().isEmpty());
            assertEquals(HEALTH_CHECK, server.requests().get(0));
        }
    }
}
