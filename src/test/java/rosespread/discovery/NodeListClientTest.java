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
    private final List<String> requestTargets = new CopyOnWriteArrayList<>();
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

    private void start(BiConsumer<Integer, HttpServer.Exchange> responder) throws IOException {
        server =
                new HttpServer(
                        1,
                        HttpLimits.DEFAULT,
                        (call, exchange) -> {
                            requestTargets.add(call.target());
                            responder.accept(requestTargets.size(), exchange);
                        });
        InetSocketAddress address =
                server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        client =
                new NodeListClient(
                        http,
                        address,
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
                                                .map(node -> node.name() + " " + node.state())
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

    private static void respond(
            HttpServer.Exchange exchange, int status, String index, String body) {
        exchange.respond(
                new HttpMessage.Response(
                        status,
                        HttpHeaders.of("x-consul-index", index),
                        body.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void blocksQueriesOnKnownIndex() throws IOException {
        start(
                (queryNumber, exchange) -> {
                    if (queryNumber < 3) {
                        respond(
                                exchange,
                                200,
                                String.valueOf(10 + queryNumber),
                                "[" + CatalogFixture.entry("x" + queryNumber, "") + "]");
                    }
                });
        await().until(() -> requestTargets.size() == 3);
        assertEquals(
                List.of(
                        "/v1/health/service/nodes",
                        "/v1/health/service/nodes?index=11&wait=5000ms",
                        "/v1/health/service/nodes?index=12&wait=5000ms"),
                requestTargets);
        assertEquals(List.of("[x1 READY]", "[x2 READY]"), received);
    }

    @Test
    void acceptsOlderListOnlyAfterGracePeriod() throws IOException {
        start(
                (queryNumber, exchange) ->
                        respond(
                                exchange,
                                200,
                                queryNumber == 1 ? "50" : "20",
                                "["
                                        + CatalogFixture.entry(queryNumber == 1 ? "new" : "old", "")
                                        + "]"));
        await().until(() -> received.size() >= 3);
        assertEquals("[new READY]", received.get(0));
        assertTrue(
                received.stream()
                        .skip(1)
                        .allMatch(
                                event ->
                                        event.contains(
                                                "index 20 is older than the known index 50")),
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
                "200|5|{}|not a JSON array",
                "200|5|[{]|not valid JSON at line 1",
                "200|5|[{}]|[0].Service lacks"
            })
    void reportsMalformedResponseAsUnavailableAndRetries(
            int status, String index, String body, String reason) throws IOException {
        start(
                (queryNumber, exchange) ->
                        respond(
                                exchange,
                                queryNumber == 2 ? status : 200,
                                queryNumber == 2
                                        ? index == null ? "" : index
                                        : String.valueOf(queryNumber),
                                queryNumber == 2
                                        ? body
                                        : "[" + CatalogFixture.entry("x", "") + "]"));
        await().until(() -> received.size() >= 3);
        assertEquals("[x READY]", received.get(0));
        assertTrue(
                received.get(1).startsWith("unavailable: ") && received.get(1).contains(reason),
                received.get(1));
        assertEquals("[x READY]", received.get(2));
    }

    @Test
    void reportsSilentServerAsUnavailableAndRetries() throws IOException {
        start(
                (queryNumber, exchange) -> {
                    if (queryNumber == 2) {
                        respond(exchange, 200, "7", "[]");
                    }
                });
        await().until(() -> received.size() >= 2);
        assertTrue(received.get(0).contains("no answer within 150 ms"), received.get(0));
        assertEquals("[]", received.get(1));
    }
}
