package rosespread.http;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpClientTest {
    private static final long TIMEOUT_NANOS = 10_000_000_000L;
    private final HttpClient http = new HttpClient(1, HttpLimits.DEFAULT, 1000, 10);
    private final List<String> outcomes = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        http.close();
    }

    private void call(InetSocketAddress address, String method) {
        int before = outcomes.size();
        HttpMessage.Request request =
                new HttpMessage.Request(method, "/", HttpHeaders.of("host", "x"), new byte[0]);
        http.call(
                address,
                request,
                TIMEOUT_NANOS,
                new HttpClient.ResponseHandler() {
                    @Override
                    public void onResponse(HttpMessage.Response response) {
                        outcomes.add(new String(response.body(), StandardCharsets.US_ASCII));
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure, String detail) {
                        outcomes.add(failure.name());
                    }
                });
        await().until(() -> outcomes.size() > before);
    }

    /** The server always resets the reused connection while the second request is in transit. */
    @ParameterizedTest
    @CsvSource({"GET, two, 1", "POST, BROKEN, 1"})
    void resendsOnlySafeMethodOnNewConnection(String method, String secondOutcome, int resetCount)
            throws IOException {
        try (ConnectionResetServer server = new ConnectionResetServer("one", "two")) {
            call(server.address(), "GET");
            call(server.address(), method);
            assertEquals(List.of("one", secondOutcome), outcomes);
            await().until(() -> server.resetCount() == resetCount);
        }
    }

    @Test
    void removesAddressesOfClosedServers() throws IOException {
        InetAddress local = InetAddress.getByName("127.0.0.1");
        List<HttpServer> servers = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            HttpServer server =
                    new HttpServer(
                            1,
                            HttpLimits.DEFAULT,
                            (request, exchange) ->
                                    exchange.respond(HttpMessage.Response.json(200, "{}")));
            servers.add(server);
            call(server.listen(new InetSocketAddress(local, 0)), "GET");
        }
        assertEquals(5, http.idleAddressCount());
        servers.forEach(HttpServer::close);
        await().until(() -> http.idleAddressCount() == 0);
    }
}
