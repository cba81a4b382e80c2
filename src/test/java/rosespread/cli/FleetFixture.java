package rosespread.cli;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import rosespread.admin.AdminServer;
import rosespread.audit.AuditLog;
import rosespread.controller.Controller;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;
import rosespread.settings.SettingsTest;
import rosespread.validation.TableChangeValidator;

/**
 * Three controllers on sockets of their own and an endpoint list with the nodes n0 to n3; runs the
 * program against them within this process.
 */
final class FleetFixture implements AutoCloseable {
    static final int CONTROLLERS = 3;
    static final int NODES = 4;

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final String LIST_INDEX = "7";

    private final Path folder;
    private final List<Controller> controllers = new ArrayList<>();
    private final List<AdminServer> adminServers = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<AuditLog> auditLogs = new ArrayList<>();
    private final HttpServer endpointList;
    private final String settings;

    FleetFixture(Path folder) throws IOException {
        this.folder = folder;
        endpointList = endpointList();
        String port = String.valueOf(endpointList.listen(ANY_PORT).getPort());
        settings = SettingsTest.VALID_SETTINGS.replace("8500", port);
        for (int i = 0; i < CONTROLLERS; i++) {
            startController("c" + i);
        }
    }

    private void startController(String name) throws IOException {
        Path state = folder.resolve(name);
        Controller controller =
                new Controller(name, state, Controller.ROUTING_POLICY, new TableChangeValidator());
        controller.start(ANY_PORT);
        AuditLog auditLog = new AuditLog(state.resolve("audit.log"), System::currentTimeMillis);
        AdminServer adminServer = new AdminServer(controller, auditLog);
        addresses.add(adminServer.listen(ANY_PORT));
        controllers.add(controller);
        adminServers.add(adminServer);
        auditLogs.add(auditLog);
    }

    /** An endpoint list that never changes: a blocking query on its only index stays unanswered. */
    private static HttpServer endpointList() {
        String nodes =
                IntStream.range(0, NODES)
                        .mapToObj(FleetFixture::nodeJson)
                        .collect(Collectors.joining(",", "[", "]"));
        byte[] body = nodes.getBytes(StandardCharsets.UTF_8);
        HttpHeaders headers = HttpHeaders.of("x-consul-index", LIST_INDEX);
        return new HttpServer(
                1,
                HttpLimits.DEFAULT,
                (request, exchange) -> {
                    if (!request.target().contains("index=" + LIST_INDEX)) {
                        exchange.respond(new HttpMessage.Response(200, headers, body));
                    }
                });
    }

    private static String nodeJson(int index) {
        return "{\"Service\":{\"ID\":\"n"
                + index
                + "\",\"Address\":\"127.0.0.1\",\"Port\":"
                + (20 + index)
                + ",\"Tags\":[\"zone=a\",\"kind=k\"]},\"Checks\":[]}";
    }

    /** Settings that fit the fixture, as JSON. */
    String settings() {
        return settings;
    }

    /** The settings with a value of {@code cold.timeMs} that is not allowed. */
    String invalidSettings() {
        return settings.replace("16000", "-1");
    }

    Controller controller(int index) {
        return controllers.get(index);
    }

    List<Controller> controllers() {
        return controllers;
    }

    Path auditLog(int index) {
        return folder.resolve("c" + index).resolve("audit.log");
    }

    /** The control address as HOST:PORT. */
    String address(int index) {
        return "127.0.0.1:" + addresses.get(index).getPort();
    }

    /** Applies the settings everywhere and waits until all controllers list all nodes. */
    ProgramRun applySettings() {
        ProgramRun run = fleet(settings, "settings apply");
        assertEquals(0, run.exitCode(), run.text());
        controllers.forEach(
                controller -> await().until(() -> controller.status().nodes().size() == NODES));
        return run;
    }

    void stop(int index) {
        adminServers.get(index).close();
        controllers.get(index).close();
    }

    /** Runs {@code fleet} with the arguments at all controllers, as operator ana. */
    ProgramRun fleet(String arguments) {
        return fleet("", arguments);
    }

    /** Runs {@code fleet} with the arguments and the input as standard input. */
    ProgramRun fleet(String input, String arguments) {
        String addressList =
                IntStream.range(0, CONTROLLERS)
                        .mapToObj(this::address)
                        .collect(Collectors.joining(","));
        InputStream originalInput = System.in;
        System.setIn(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)));
        try {
            return ProgramRun.of("fleet " + arguments + " --as ana --fleet " + addressList);
        } finally {
            System.setIn(originalInput);
        }
    }

    @Override
    public void close() throws IOException {
        adminServers.forEach(AdminServer::close);
        controllers.forEach(Controller::close);
        for (AuditLog auditLog : auditLogs) {
            auditLog.close();
        }
        endpointList.close();
    }
}
