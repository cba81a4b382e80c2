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
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosespread.fleet.Fleet;
import rosespread.fleet.FleetResponse;

/**
 * The API's description and the API: each call that is described is answered as described, and no
 * other.
 */
class OpenApiTest {
    private static final List<String> METHODS = List.of("GET", "PUT", "POST", "DELETE");
    private static final long TIMEOUT_NANOS = 5_000_000_000L;
    private static final int MIN_DESCRIBED_CALLS = 16;

    @TempDir private Path folder;

    @Test
    void everyDescribedCallIsAnsweredAsDescribed() throws IOException {
        JsonNode paths =
                new YAMLMapper()
                        .readTree(Path.of("docs", "api", "openapi.yaml").toFile())
                        .path("paths");
        int described = 0;
        try (AdminFixture admin = new AdminFixture("api", folder, null);
                Fleet fleet = new Fleet(List.of(admin.address()), "test", TIMEOUT_NANOS)) {
            for (Map.Entry<String, JsonNode> path : paths.properties()) {
                described += checkPath(fleet, admin.address(), path.getKey(), path.getValue());
            }
            String known = fleet.request(admin.address(), "GET", "/v1/else", "").detail();
            checkKnownPaths(pathsWithoutParameters(paths), known);
        }
        assertTrue(described >= MIN_DESCRIBED_CALLS, described + " calls");
    }

    /** Makes a call with each method; returns how many of them are described. */
    private static int checkPath(
            Fleet fleet, InetSocketAddress address, String path, JsonNode description) {
        int described = 0;
        for (String method : METHODS) {
            JsonNode operation = description.path(method.toLowerCase(Locale.ROOT));
            String target = target(path, operation);
            FleetResponse response = fleet.request(address, method, target, "");
            String what =
                    method + " " + target + ": " + response.status() + " " + response.detail();
            if (operation.isMissingNode()) {
                assertTrue(response.status() == 405 || response.status() == 404, what);
            } else {
                described++;
                assertTrue(
                        operation.path("responses").has(String.valueOf(response.status())), what);
                assertFalse(response.detail().matches("(no|not) /v1.*"), what);
            }
        }
        return described;
    }

    /** A target for the path, with 1 for each query parameter that is required. */
    private static String target(String path, JsonNode operation) {
        StringBuilder target =
                new StringBuilder(path.replace("{node}", "n").replace("{table}", "1"));
        char separator = '?';
        for (JsonNode parameter : operation.path("parameters")) {
            if (parameter.path("in").asText().equals("query")
                    && parameter.path("required").asBoolean()) {
                target.append(separator).append(parameter.path("name").asText()).append("=1");
                separator = '&';
            }
        }
        return target.toString();
    }

    private static List<String> pathsWithoutParameters(JsonNode paths) {
        return paths.properties().stream()
                .map(Map.Entry::getKey)
                .filter(path -> !path.contains("{"))
                .toList();
    }

    private static void checkKnownPaths(List<String> described, String known) {
        for (String path : described) {
            assertTrue(known.contains(path), known + " lacks " + path);
        }
        assertEquals(
                described.size(),
                known.chars().filter(c -> c == '/').count() / 2 - 1,
                "no other call: " + known);
    }
}
