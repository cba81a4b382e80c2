package rosespread.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpLimits;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/** {@code table} against a control API with prepared responses. */
class TableCommandTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final String TABLES =
            """
            [{"table":3,"version":12,"held":"PINNED","refused":{"NO_NODE":2,"BAD_WEIGHT":1},
              "refusals":["NO_NODE: \\"all\\" left"],
              "lines":{"node-b":1.5,"node-a":0.25},
              "versions":[{"number":12,"cause":"MODULE","atMillis":0,"lines":2,"changed":1,
                           "digest":"00ff"}]}]""";
    private static final String DIFF =
            """
            {"lines":[{"node":"node-a","before":0,"after":0.5},{"node":"node-b","before":1,"after":0},
                      {"node":"node-c","before":1,"after":2}]}""";

    private final Map<String, HttpMessage.Response> responses = new HashMap<>();
    private HttpServer controller;
    private String address;

    @BeforeEach
    void startController() throws Exception {
        respond("GET /v1/tables", 200, TABLES);
        respond("GET /v1/tables/3/diff?from=11&to=12", 200, DIFF);
        controller =
                new HttpServer(
                        1,
                        HttpLimits.DEFAULT,
                        (request, exchange) ->
                                exchange.respond(
                                        responses.getOrDefault(
                                                request.method() + " " + request.target(),
                                                response(404, "{\"detail\":\"not prepared\"}"))));
        address = "127.0.0.1:" + controller.listen(ANY_PORT).getPort();
    }

    @AfterEach
    void stopController() {
        controller.close();
    }

    private void respond(String request, int status, String body) {
        responses.put(request, response(status, body));
    }

    private static HttpMessage.Response response(int status, String body) {
        return new HttpMessage.Response(
                status, HttpHeaders.of(), body.getBytes(StandardCharsets.UTF_8));
    }

    private ProgramRun table(String arguments) {
        return ProgramRun.of("table " + arguments + " --control " + address);
    }

    @Test
    void listPrintsLineForEachTableWithSumOfRejectedChanges() {
        String expected =
                """
                table  version  lines      held  refused  refusals
                    3       12      2    PINNED        3  ["NO_NODE: \\"all\\" left"]
                """;
        assertEquals(new ProgramRun(0, expected, ""), table("list"));
    }

    @Test
    void showPrintsWeightsInOrderOfResponseAndVersions() {
        String expected =
                """
                table 3, version 12, held PINNED
                  node-b                             1.5000
                  node-a                             0.2500
                 version cause      at                        lines changed  digest
                      12 MODULE     1970-01-01T00:00:00Z          2       1  00ff
                """;
        assertEquals(new ProgramRun(0, expected, ""), table("show 3"));
    }

    @Test
    void showOfUnknownTableFails() {
        assertEquals(new ProgramRun(1, "", "no table 4\n"), table("show 4"));
    }

    @Test
    void diffMarksAddedRemovedAndChangedEntries() {
        String expected =
                """
                table 3, version 11 to 12, 3 lines change
                + node-a                               none     0.5000
                - node-b                             1.0000       none
                ~ node-c                             1.0000     2.0000
                """;
        assertEquals(new ProgramRun(0, expected, ""), table("diff 3 11 12"));
    }

    @Test
    void diffWithUnknownVersionFailsWithReasonOfController() {
        assertEquals(new ProgramRun(1, "", "not prepared\n"), table("diff 3 1 12"));
    }

    @ParameterizedTest
    @CsvSource({"rollback 3 11,rollback?version=11", "pin 3,pin", "release 3,release"})
    void changeReportsWhetherItSurvivesRestart(String command, String action) {
        String request = "POST /v1/tables/3/" + action;
        respond(request, 200, "{\"kept\":true}");
        assertEquals(new ProgramRun(0, "done\n", ""), table(command));
        respond(request, 200, "{\"kept\":false}");
        String notStored =
                "done, but not stored: a controller restart loses the change; see /v1/state\n";
        assertEquals(new ProgramRun(0, notStored, ""), table(command));
    }

    @ParameterizedTest
    @CsvSource({"rollback 3 11", "pin 3", "release 3"})
    void rejectedChangeFailsWithReasonOfController(String command) {
        assertEquals(new ProgramRun(1, "", "not prepared\n"), table(command));
    }

    @Test
    void printsRejectedChangeAsJsonToStandardErrorOnRequest() {
        String expected = "{\n  \"detail\" : \"not prepared\"\n}\n";
        assertEquals(new ProgramRun(1, "", expected), table("pin 3 --json"));
    }

    @Test
    void namesControllerThatDoesNotRespond() {
        controller.close();
        ProgramRun run = table("list");
        assertEquals(1, run.exitCode());
        assertEquals(0, run.err().indexOf("list: " + address + ": no connection to "));
    }
}
