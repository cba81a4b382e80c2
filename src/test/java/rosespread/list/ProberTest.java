package rosespread.list;

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
import rosespread.api.Observer.Verdict;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

class ProberTest {
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final long TIMEOUT = 150_000_000L;

    /** A node that answers after the deadline has timed out, and its late answer is nobody's. */
    @ParameterizedTest
    @CsvSource({
        "200,OK",
        "302,OK",
        "404,ABORTED",
        "500,ABORTED",
        "429,PUSHED_BACK",
        "503,PUSHED_BACK",
        "late,TIMED_OUT",
        "closes,UNREACHABLE",
        "down,UNREACHABLE"
    })
    void tellsOneVerdict(String node, Verdict verdict) throws IOException {
        List<HttpServer.Exchange> late = new CopyOnWriteArrayList<>();
        List<Verdict> told = new CopyOnWriteArrayList<>();
        try (HttpServer server =
                        new HttpServer(
                                1,
                                HttpLimits.USUAL,
                                (call, exchange) -> {
                                    switch (node) {
                                        case "late" -> late.add(exchange);
                                        case "closes" -> exchange.hangUp();
                                        default ->
                                                exchange.answer(
                                                        HttpMessage.Answer.of(
                                                                Integer.parseInt(node),
                                                                "text/plain",
                                                                ""));
                                    }
                                });
                HttpClient http = new HttpClient(1, HttpLimits.USUAL, 300, 5)) {
            InetSocketAddress at = server.listen(ANY);
            if (node.equals("down")) {
                try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                    at = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
                }
            }
            Prober prober = new Prober(http, "/health", TIMEOUT);
            prober.probe(at, told::add);
            await().until(() -> told.size() == 1);
            late.forEach(exchange -> exchange.answer(HttpMessage.Answer.of(200, "text/plain", "")));
            prober.probe(at, told::add);
            await().until(() -> told.size() == 2);
            assertEquals(List.of(verdict, verdict), told);
        }
    }
}
