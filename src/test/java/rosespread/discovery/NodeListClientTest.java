package rosespread.discovery;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import rosespread.api.EventHandler.NodeState;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

class NodeListClientTest {
    private static final long MILLI = 1_000_000L;
    private final List<String> heard = new CopyOnWriteArrayList<>();
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

    private void follow(BiConsumer<Integer, HttpServer.Exchange> answers) throws IOException {
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
                        5000 * MILLI,
                        150 * MILLI,
                        1000 * MILLI,
                        false,
                        timer,
                        clock::get,
                        new SplittableRandom(1),
                        new NodeListClient.Listener() {
                            @Override
                            public void nodeListReceived(List<ListedNode> nodes) {
                                heard.add(
                                        nodes.stream()
                                                .map(n -> n.name() + " " + n.state())
                                                .toList()
                                                .toString());
                            }

                            @Override
                            public void nodeListUnavailable(String why) {
                                heard.add("unavailable: " + why);
                            }
                        });
        client.start();
    }

    private static String entry(String name, String checks) {
        return "{\"Node\":{\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\""
                + name
                + "\",\"Port\":80,"
                + "\"Tags\":[\"zone=a\"],\"Meta\":{\"kind\":\"k\",\"started\":\"77\"}},\"Checks\":["
                + checks
                + "]}";
    }

    private static void answer(
            HttpServer.Exchange exchange, int status, String index, String body) {
        exchange.respond(
                new HttpMessage.Response(
                        status,
                        HttpHeaders.of("x-consul-index", index),
                        body.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }

    @Test
    void asksBlockingFromTheIndexItHas() throws IOException {
        follow(
                (n, exchange) -> {
                    if (n < 3) {
                        answer(
                                exchange,
                                200,
                                String.valueOf(10 + n),
                                "[" + entry("x" + n, "") + "]");
                    }
                });
        await().until(() -> targets.size() == 3);
        assertEquals(
                List.of(
                        "/v1/health/service/nodes",
                        "/v1/health/service/nodes?index=11&wait=5000ms",
                        "/v1/health/service/nodes?index=12&wait=5000ms"),
                targets);
        assertEquals(List.of("[x1 READY]", "[x2 READY]"), heard);
    }

    @Test
    void believesAnOlderListOnlyOnceItHasGoneOnForLong() throws IOException {
        follow(
                (n, exchange) ->
                        answer(
                                exchange,
                                200,
                                n == 1 ? "50" : "20",
                                "[" + entry(n == 1 ? "new" : "old", "") + "]"));
        await().until(() -> heard.size() >= 3);
        assertEquals("[new READY]", heard.get(0));
        assertTrue(
                heard.stream().skip(1).allMatch(h -> h.contains("index 20 is older than 50")),
                heard.toString());
        clock.addAndGet(1001 * MILLI);
        await().until(() -> heard.contains("[old READY]"));
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
    void keepsTheLastListWhenAnAnswerErrs(int status, String index, String body, String words)
            throws IOException {
        follow(
                (n, exchange) ->
                        answer(
                                exchange,
                                n == 2 ? status : 200,
                                n == 2 ? index == null ? "" : index : String.valueOf(n),
                                n == 2 ? body : "[" + entry("x", "") + "]"));
        await().until(() -> heard.size() >= 3);
        assertEquals("[x READY]", heard.get(0));
        assertTrue(
                heard.get(1).startsWith("unavailable: ") && heard.get(1).contains(words),
                heard.get(1));
        assertEquals("[x READY]", heard.get(2));
    }

    @Test
    void tellsThatASilentListIsUnavailableAndAsksAgain() throws IOException {
        follow(
                (n, exchange) -> {
                    if (n == 2) {
                        answer(exchange, 200, "7", "[]");
                    }
                });
        await().until(() -> heard.size() >= 2);
        assertTrue(heard.get(0).contains("no answer within 150 ms"), heard.get(0));
        assertEquals("[]", heard.get(1));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "|READY",
                "{\"CheckID\":\"c\",\"Status\":\"passing\"}|READY",
                "{\"CheckID\":\"c\",\"Status\":\"warning\"}|READY",
                "{\"CheckID\":\"c\",\"Status\":\"critical\"}|GONE",
                "{\"CheckID\":\"_service_maintenance:x\",\"Status\":\"critical\"}|DRAINING",
                "{\"CheckID\":\"_node_maintenance\",\"Status\":\"critical\"}|DRAINING"
            })
    void readsTheStateFromChecks(String checks, NodeState state) throws Exception {
        server = new HttpServer(1, HttpLimits.DEFAULT, (call, exchange) -> {});
        client =
                new NodeListClient(
                        http, null, "", "", 0, 0, 0, true, timer, clock::get, null, null);
        ListedNode node =
                CatalogReader.read("[" + entry("x", checks == null ? "" : checks) + "]").get(0);
        assertEquals(state, node.state());
        assertEquals("a k 77", node.zone() + " " + node.machineType() + " " + node.startedMillis());
        assertThrows(
                NodeListException.class,
                () -> CatalogReader.read("[" + entry("x", "") + "," + entry("x", "") + "]"));
    }
}
