package rosespread.cli;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.admin.AdminServer;
import rosespread.audit.AuditLog;
import rosespread.controller.Controller;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;
import rosespread.settings.SettingsTest;
import rosespread.validation.TableChangeValidator;

/** The tool against three conductors with their own sockets, and a list that knows four nodes. */
class FleetCommandTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final int CONDUCTORS = 3;

    @TempDir private Path folder;
    private final List<Controller> conductors = new ArrayList<>();
    private final List<AdminServer> controls = new ArrayList<>();
    private final List<AuditLog> audits = new ArrayList<>();
    private final StringBuilder fleet = new StringBuilder();
    private HttpServer list;
    private String settings;
    private StringWriter out;
    private StringWriter err;

    @BeforeEach
    void begin() throws IOException {
        StringBuilder nodes = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            nodes.append(i == 0 ? "" : ",")
                    .append("{\"Service\":{\"ID\":\"n")
                    .append(i)
                    .append("\",\"Address\":\"127.0.0.1\",\"Port\":")
                    .append(20 + i)
                    .append(",\"Tags\":[\"zone=a\",\"kind=k\"]},\"Checks\":[]}");
        }
        byte[] body = ("[" + nodes + "]").getBytes(StandardCharsets.UTF_8);
        boolean[] told = {false};
        list =
                new HttpServer(
                        1,
                        HttpLimits.DEFAULT,
                        (call, exchange) -> {
                            // A blocking query that names the index it has seen waits; nothing
                            // changes here.
                            if (!call.target().contains("index=7")) {
                                exchange.respond(
                                        new HttpMessage.Response(
                                                200, HttpHeaders.of("x-consul-index", "7"), body));
                            }
                            told[0] = true;
                        });
        settings = SettingsTest.GOOD.replace("8500", String.valueOf(list.listen(ANY).getPort()));
        for (int i = 0; i < CONDUCTORS; i++) {
            Path state = folder.resolve("c" + i);
            Controller conductor =
                    new Controller("c" + i, state, Controller.ROUTING_POLICY, new TableChangeValidator());
            conductor.start(ANY);
            AuditLog audit = new AuditLog(state.resolve("audit.log"), System::currentTimeMillis);
            AdminServer control = new AdminServer(conductor, audit);
            fleet.append(i == 0 ? "" : ",")
                    .append("127.0.0.1:")
                    .append(control.listen(ANY).getPort());
            conductors.add(conductor);
            controls.add(control);
            audits.add(audit);
        }
    }

    @AfterEach
    void end() throws IOException {
        controls.forEach(AdminServer::close);
        conductors.forEach(Controller::close);
        for (AuditLog audit : audits) {
            audit.close();
        }
        list.close();
    }

    private int run(String input, String... args) {
        out = new StringWriter();
        err = new StringWriter();
        InputStream before = System.in;
        System.setIn(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)));
        try {
            List<String> all = new ArrayList<>(List.of(args));
            all.addAll(List.of("--fleet", fleet.toString(), "--as", "ana"));
            return Main.run(
                    new PrintWriter(out, true),
                    new PrintWriter(err, true),
                    all.toArray(new String[0]));
        } finally {
            System.setIn(before);
        }
    }

    private void settle() {
        assertEquals(0, run(settings, "fleet", "settings", "apply"), out + "" + err);
        conductors.forEach(c -> await().until(() -> c.state().nodes().size() == 4));
    }

    private void stop(int conductor) {
        controls.get(conductor).close();
        conductors.get(conductor).close();
    }

    @Test
    void appliesShowsAndComparesSettings() {
        settle();
        assertEquals(
                3, out.toString().lines().filter(l -> l.contains("applied as revision 1")).count());
        assertEquals(0, run("", "fleet", "status"));
        assertEquals(4, out.toString().lines().count(), out.toString());
        assertTrue(out.toString().contains("4 ready"), out.toString());
        assertEquals(
                0,
                run(
                        settings.replace("\"drainGraceMs\":2000", "\"drainGraceMs\":2500"),
                        "fleet",
                        "settings",
                        "diff"));
        assertTrue(out.toString().contains("drainGraceMs: 2000 -> 2500"), out.toString());
        assertEquals(0, run("", "fleet", "settings", "show"));
        assertTrue(out.toString().contains("\"drainGraceMs\" : 2000"), out.toString());
    }

    @Test
    void badSettingsAreAppliedNowhere() {
        settle();
        assertEquals(1, run(settings.replace("16000", "-1"), "fleet", "settings", "apply"));
        assertTrue(
                out.toString().contains("field cold.timeMs is -1")
                        && out.toString().contains("nothing was applied anywhere"),
                out.toString());
        assertEquals(
                1, run(settings.replace("16000", "-1"), "fleet", "settings", "apply", "--dry-run"));
        assertEquals(1, conductors.get(0).settings().orElseThrow().revision());
    }

    @Test
    void stopsWhereOneConductorDoesNotAnswer() {
        settle();
        stop(1);
        assertEquals(
                1, run(settings, "fleet", "settings", "apply", "--timeout", "1"), out.toString());
        assertTrue(out.toString().contains("nothing was applied anywhere"), out.toString());
        assertEquals(1, conductors.get(0).settings().orElseThrow().revision());
    }

    @Test
    void drainsAcrossAllAndTellsOfEach() {
        settle();
        assertEquals(0, run("", "fleet", "drain", "n1", "--wait", "8"), out + "" + err);
        assertTrue(out.toString().contains("n1 is empty"), out.toString());
        assertEquals(0, run("", "fleet", "nodes"));
        assertTrue(
                out.toString()
                        .lines()
                        .anyMatch(
                                l -> l.startsWith("n1") && l.contains("DRAINING, drained by ana")),
                out.toString());
        assertEquals(0, run("", "fleet", "undrain", "n1"));
        assertEquals(0, run("", "fleet", "log"));
        assertEquals(
                6,
                out.toString()
                        .lines()
                        .filter(
                                l ->
                                        l.contains("ana")
                                                && l.contains("n1/")
                                                && l.contains("200 done"))
                        .count(),
                out.toString());
        for (int i = 0; i < CONDUCTORS; i++) {
            assertEquals(
                    0,
                    Main.run(
                            new PrintWriter(out),
                            new PrintWriter(err),
                            "audit",
                            folder.resolve("c" + i).resolve("audit.log").toString()));
        }
    }

    @Test
    void saysWhereADrainIsMissingAndCanBeRepeated() {
        settle();
        stop(2);
        assertEquals(4, run("", "fleet", "drain", "n1", "--timeout", "1"));
        assertEquals(2, out.toString().lines().filter(l -> l.contains("done")).count());
        assertEquals(1, err.toString().lines().count(), err.toString());
        assertEquals(
                4,
                run("", "fleet", "drain", "n1", "--timeout", "1"),
                "again, and nothing else comes of it");
        for (Controller conductor : conductors.subList(0, 2)) {
            assertEquals(
                    List.of("n1"),
                    conductor.state().nodes().stream()
                            .filter(n -> n.drainedBy().equals("ana"))
                            .map(n -> n.name())
                            .toList());
        }
    }

    @Test
    void theGuardRefusesEverywhereUnlessForced() {
        settle();
        assertEquals(0, run("", "fleet", "drain", "n0"));
        assertEquals(0, run("", "fleet", "drain", "n1"));
        assertEquals(1, run("", "fleet", "drain", "n2"));
        assertTrue(
                err.toString()
                        .contains("method quote would keep 1.00 of 4.00, that is 25% where 50%"),
                err.toString());
        assertEquals(0, run("", "fleet", "drain", "n2", "--force"));
        assertEquals(0, run("", "fleet", "status"));
        assertTrue(out.toString().contains("3 draining, 1 ready"), out.toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "drain zz|1|no node zz among 4 listed",
                "drain n1 --timeout 0|2|--timeout is 0.0; allowed: over 0 to 600",
                "drain|2|Missing required parameter",
                "drains n1|2|Unmatched arguments",
                "drain n1 --wait soon|2|'soon' is not a double"
            })
    void tellsWhatIsWrongWithACommand(String command, int code, String told) {
        settle();
        List<String> args = new ArrayList<>(List.of("fleet"));
        args.addAll(List.of(command.split(" ")));
        assertEquals(code, run("", args.toArray(new String[0])), out + "" + err);
        assertTrue(err.toString().contains(told), err.toString());
    }
}
