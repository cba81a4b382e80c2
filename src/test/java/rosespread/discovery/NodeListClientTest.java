package rosespread.discovery;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

class NodeListClientTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private final List<String> received = new CopyOnWriteArrayList<>();
    private final List<String> targets = new CopyOnWriteArrayList<>();
    private final AtomicLong clock = new AtomicLong();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final HttpClient http = new HttpClient(1, HttpLimits.LARGE, 300, 5);
    private HttpServer server;
    private NodeListClient client;

    @AfterEach
    void close() {
        client.close();
        http.close();
        server.close();
        timer.shutdownNow();
    }

    private void start(BiConsumer<Integer, HttpServer.Exchange> answers) throws IOException {
        server =
                new HttpServer(
                        1,
                        HttpLimits.DEFAULT,
                        (call, exchange) -> {
                            targets.add(call.target());
                            answers.accept(targets.size(), exchange);
                        });
        InetSocketAddress at =
                server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        client =
                new NodeListClient(
                        http,
                        at,
                        "nodes",
                        "test",
                        5000 * MILLI_NANOS,
                        150 * MILLI_NANOS,
                        1000 * MILLI_NANOS,
                        false,
                        timer,
                        clock::get,
                        new SplittableRandom(1),
                        new NodeListClient.Listener() {
                            @Override
                            public void nodeListReceived(List<ListedNode> nodes) {
                                received.add(
                                        nodes.stream()
                                                .map(n -> n.name() + " " + n.state())
                                                .toList()
                                                .toString());
                            }

                            @Override
                            public void nodeListUnavailable(String reason) {
                                received.add("unavailable: " + reason);
                            }
                        });
        client.start();
    }

    private static void answer(
            HttpServer.Exchange exchange, int status, String index, String body) {
        exchange.respond(
                new HttpMessage.Response(
                        status,
                        HttpHeaders.of("x-consul-index", index),
                        body.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void queriesBlockFromTheKnownIndex() throws IOException {
        start(
                (n, exchange) -> {
                    if (n < 3) {
                        answer(
                                exchange,
                                200,
                                String.valueOf(10 + n),
                                "[" + CatalogFixture.entry("x" + n, "") + "]");
                    }
                });
        await().until(() -> targets.size() == 3);
        assertEquals(
                List.of(
                        "/v1/health/service/nodes",
                        "/v1/health/service/nodes?index=11&wait=5000ms",
                        "/v1/health/service/nodes?index=12&wait=5000ms"),
                targets);
        assertEquals(List.of("[x1 READY]", "[x2 READY]"), received);
    }

    @Test
    void olderListIsAcceptedOnlyAfterTheGraceTime() throws IOException {
        start(
                (n, exchange) ->
                        answer(
                                exchange,
                                200,
                                n == 1 ? "50" : "20",
                                "[" + CatalogFixture.entry(n == 1 ? "new" : "old", "") + "]"));
        await().until(() -> received.size() >= 3);
        assertEquals("[new READY]", received.get(0));
        assertTrue(
                received.stream().skip(1).allMatch(h -> h.contains("index 20 is older than 50")),
                received.toString());
        clock.addAndGet(1001 * MILLI_NANOS);
        await().until(() -> received.contains("[old READY]"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "500|5|[]|status 500",
                "200|0|[]|X-Consul-Index",
                "200||[]|X-Consul-Index",
                "200|5|{}|not an array",
                "200|5|[{]|not JSON at line 1",
                "200|5|[{}]|[0].Service lacks"
            })
    void malformedResponseIsUnavailableAndTheLastListStays(
            int status, String index, String body, String reason) throws IOException {
        start(
                (n, exchange) ->
                        answer(
                                exchange,
                                n == 2 ? status : 200,
                                n == 2 ? index == null ? "" : index : String.valueOf(n),
                                n == 2 ? body : "[" + CatalogFixture.entry("x", "") + "]"));
        await().until(() -> received.size() >= 3);
        assertEquals("[x READY]", received.get(0));
        assertTrue(
                received.get(1).startsWith("unavailable: ") && received.get(1).contains(reason),
                received.get(1));
        assertEquals("[x READY]", received.get(2));
    }

    @Test
    void silentServerIsUnavailableAndQueriedAgain() throws IOException {
        start(
                (n, exchange) -> {
                    if (n == 2) {
                        answer(exchange, 200, "7", "[]");
                    }
                });
        await().until(() -> received.size() >= 2);
        assertTrue(received.get(0).contains("no answer within 150 ms"), received.get(0));
        assertEquals("[]", received.get(1));
    }
}
