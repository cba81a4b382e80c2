package rosespread.platform;

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

/** Checks the exact bytes of requests to discovery: the full list first, then the watch. */
class DiscoveryRequestTest {
    private static final String FULL_LIST =
            "GET /api/targets HTTP/1.1\r\nhost: 127.0.0.1:PORT\r\n" + "content-length: 0\r\n\r\n";
    private static final String WATCH =
            "GET /api/targets?since=7&timeout_ms=1000 HTTP/1.1\r\n"
                    + "host: 127.0.0.1:PORT\r\ncontent-length: 0\r\n\r\n";

    private static DiscoveryWatch watch(HttpClient http, ScheduledExecutorService timer) {
        return new DiscoveryWatch(
                http,
                timer,
                new SplittableRandom(1),
                new DiscoveryWatch.Listener() {
                    @Override
                    public void listReceived(NodeList list) {}

                    @Override
                    public void listUnavailable(String reason) {}
                });
    }

    @Test
    void requestsKeepRecordedFormat() throws IOException {
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (RecordingServer server =
                        new RecordingServer(
                                RecordingServer.json(
                                        "",
                                        "{\"version\":7,\"full\":true,\"servers\":["
                                                + PlatformFixture.node("s-1", "SERVING")
                                                + "]}"));
                HttpClient http = new HttpClient(1, HttpLimits.DEFAULT, 300, 1);
                DiscoveryWatch watch = watch(http, timer)) {
            watch.follow(server.address());
            await().until(() -> server.requests().size() >= 2);
            assertEquals(List.of(FULL_LIST, WATCH), server.requests().subList(0, 2));
        } finally {
            timer.shutdownNow();
        }
    }
}
