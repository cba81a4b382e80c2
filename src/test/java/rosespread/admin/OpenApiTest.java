package rosespread.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosespread.controller.Controller;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;
import rosespread.validation.TableChangeValidator;

/**
 * The API's description and the API: each call that is described is answered as described, and no
 * other.
 */
class OpenApiTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final long TIMEOUT = 5_000_000_000L;

    @TempDir private Path folder;

    @Test
    void everyDescribedCallIsAnsweredAsDescribed() throws IOException {
        JsonNode paths =
                new YAMLMapper()
                        .readTree(Path.of("docs", "api", "openapi.yaml").toFile())
                        .path("paths");
        Controller conductor =
                new Controller("api", folder, Controller.ROUTING_POLICY, new TableChangeValidator());
        conductor.start(ANY);
        int calls = 0;
        try (AdminServer control = new AdminServer(conductor)) {
            InetSocketAddress at = control.listen(ANY);
            try (Fleet fleet = new Fleet(List.of(at), "test", TIMEOUT)) {
                for (Map.Entry<String, JsonNode> path : paths.properties()) {
                    for (String verb : List.of("GET", "PUT", "POST", "DELETE")) {
                        JsonNode described =
                                path.getValue().path(verb.toLowerCase(java.util.Locale.ROOT));
                        StringBuilder target =
                                new StringBuilder(
                                        path.getKey()
                                                .replace("{node}", "n")
                                                .replace("{table}", "1"));
                        char mark = '?';
                        for (JsonNode parameter : described.path("parameters")) {
                            if (parameter.path("in").asText().equals("query")
                                    && parameter.path("required").asBoolean()) {
                                target.append(mark)
                                        .append(parameter.path("name").asText())
                                        .append("=1");
                                mark = '&';
                            }
                        }
                        FleetResponse reply = fleet.ask(at, verb, target.toString(), "");
                        String what =
                                verb + " " + target + ": " + reply.status() + " " + reply.detail();
                        if (described.isMissingNode()) {
                            assertTrue(reply.status() == 405 || reply.status() == 404, what);
                        } else {
                            calls++;
                            assertTrue(
                                    described.path("responses").has(String.valueOf(reply.status())),
                                    what);
                            assertFalse(reply.detail().matches("(no|not) /v1.*"), what);
                        }
                    }
                }
                String known = fleet.ask(at, "GET", "/v1/else", "").detail();
                for (String path :
                        paths.properties().stream()
                                .map(Map.Entry::getKey)
                                .filter(p -> !p.contains("{"))
                                .toList()) {
                    assertTrue(known.contains(path), known + " lacks " + path);
                }
                assertEquals(
                        paths.properties().stream().filter(p -> !p.getKey().contains("{")).count(),
                        known.chars().filter(c -> c == '/').count() / 2 - 1,
                        "no other call: " + known);
            }
        } finally {
            conductor.close();
        }
        assertTrue(calls >= 16, calls + " calls");
    }
}
