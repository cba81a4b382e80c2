package rosespread.controller;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import rosespread.admin.AdminServer;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;
import rosespread.settings.SettingsTest;
import rosespread.validation.TableChangeValidator;

/**
 * A complete controller on loopback with its control API and a node list server that lists the
 * nodes n and m. It waits for settings.
 */
final class LoopbackController implements AutoCloseable {
    static final InetSocketAddress ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static final int TIMEOUT_MILLIS = 10_000;

    private final Path folder;
    private final HttpServer nodeList;
    private final List<HttpServer.Exchange> blockedQueries = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private String settings;
    private Controller controller;
    private AdminServer admin;
    private InetSocketAddress channelAddress;
    private InetSocketAddress adminAddress;

    LoopbackController(Path folder) throws IOException {
        this.folder = folder;
        this.nodeList =
                new HttpServer(
                        1,
                        HttpLimits.DEFAULT,
                        (request, exchange) -> {
                            if (request.target().contains("index")) {
                                blockedQueries.add(exchange);
                            } else {
                                exchange.respond(nodeListResponse("5", ""));
                            }
                        });
        this.settings =
                SettingsTest.VALID_SETTINGS
                        .replace("8500", String.valueOf(nodeList.listen(ANY_PORT).getPort()))
                        .replace("\"linesPerSecond\":1000", "\"linesPerSecond\":20000")
                        .replace("\"queueLimit\":1500", "\"queueLimit\":30000");
        start();
    }

    /** The response of the Consul catalog; {@code checks} are the health checks of node n. */
    private static HttpMessage.Response nodeListResponse(String index, String checks) {
        return new HttpMessage.Response(
                200,
                HttpHeaders.of("x-consul-index", index),
                ("[{\"Service\":{\"ID\":\"n\",\"Address\":\"127.0.0.1\",\"Port\":9,\"Tags\":[\"zone=a\","
                                + "\"kind=k\"]},\"Checks\":["
                                + checks
                                + "]},{\"Service\":{\"ID\":\"m\","
                                + "\"Address\":\"127.0.0.1\",\"Port\":10,\"Tags\":[\"zone=a\",\"kind=k\"]}}]")
                        .getBytes(StandardCharsets.UTF_8));
    }

    /** Starts a controller on the folder. */
    void start() throws IOException {
        controller =
                new Controller(
                        "test", folder, Controller.ROUTING_POLICY, new TableChangeValidator());
        channelAddress = controller.start(ANY_PORT);
        admin = new AdminServer(controller);
        adminAddress = admin.listen(ANY_PORT);
    }

    /** Stops the controller; the folder stays. */
    void stop() {
        admin.close();
        controller.close();
    }

    void restart() throws IOException {
        stop();
        start();
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        stop();
        nodeList.close();
    }

    Controller controller() {
        return controller;
    }

    ControllerStatus status() {
        return controller.status();
    }

    InetSocketAddress adminAddress() {
        return adminAddress;
    }

    String settings() {
        return settings;
    }

    /** Changes the settings that {@link #applySettings} applies. */
    void replaceInSettings(String text, String replacement) {
        settings = settings.replace(text, replacement);
    }

    /** Applies the settings and waits until both nodes are listed. */
    void applySettings() throws IOException {
        assertTrue(call("PUT", "/v1/settings", settings).startsWith("HTTP/1.1 200"));
        awaitNodes();
    }

    void awaitNodes() {
        await().until(() -> status().nodes().size() == 2);
    }

    /** Whether the controller has a blocking query open for changes of the node list. */
    boolean isNodeListWatched() {
        return !blockedQueries.isEmpty();
    }

    /** Answers the blocking query with node n in maintenance. */
    void reportNodeNInMaintenance() {
        blockedQueries
                .get(0)
                .respond(
                        nodeListResponse(
                                "6",
                                "{\"CheckID\":\"_service_maintenance:n\",\"Status\":\"critical\"}"));
    }

    /** Connects to the channel. */
    ChannelClient connect() throws IOException {
        return connect(channelAddress);
    }

    /** Connects to the channel of another controller; the client is closed with this one. */
    ChannelClient connect(InetSocketAddress address) throws IOException {
        ChannelClient client = new ChannelClient(address, TIMEOUT_MILLIS);
        sockets.add(client.socket());
        return client;
    }

    /** Calls the control API; returns the whole response. */
    String call(String method, String path, String body, String... headers) throws IOException {
        try (Socket socket = new Socket(adminAddress.getAddress(), adminAddress.getPort())) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            String head = headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n";
            String request =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nhost: x\r\nconnection: close\r\n"
                            + head
                            + "content-length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Posts to the control API without a body; fails unless the status is 200. */
    void post(String path, String... headers) throws IOException {
        String response = call("POST", path, "", headers);
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
    }
}
