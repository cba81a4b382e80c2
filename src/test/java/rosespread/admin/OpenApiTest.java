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
 * Compares the API with its OpenAPI description: each described operation responds with a described
 * status, and no other operation exists.
 */
class OpenApiTest {
    private static final List<String> METHODS = List.of("GET", "PUT", "POST", "DELETE");
    private static final long TIMEOUT_NANOS = 5_000_000_000L;
    private static final int MIN_DESCRIBED_OPERATIONS = 16;

    @TempDir private Path folder;

    @Test
    void answersExactlyTheDescribedRequestsAsDescribed() throws IOException {
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
            String knownPaths = fleet.request(admin.address(), "GET", "/v1/else", "").detail();
            checkKnownPaths(pathsWithoutParameters(paths), knownPaths);
        }
        assertTrue(described >= MIN_DESCRIBED_OPERATIONS, described + " described operations");
    }

    /** Sends a request with each method; returns how many of the operations are described. */
    private static int checkPath(
            Fleet fleet, InetSocketAddress address, String path, JsonNode description) {
        int described = 0;
        for (String method : METHODS) {
            JsonNode operation = description.path(method.toLowerCase(Locale.ROOT));
            String target = target(path, operation);
            FleetResponse response = fleet.request(address, method, target, "");
            String message =
                    method + " " + target + ": " + response.status() + " " + response.detail();
            if (operation.isMissingNode()) {
                assertTrue(response.status() == 405 || response.status() == 404, message);
            } else {
                described++;
                assertTrue(
                        operation.path("responses").has(String.valueOf(response.status())),
                        message);
                assertFalse(response.detail().matches("(no|not) /v1.*"), message);
            }
        }
        return described;
    }

    /** Returns a target for the path, with the value 1 for each required query parameter. */
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

    private static void checkKnownPaths(List<String> described, String knownPaths) {
        for (String path : described) {
            assertTrue(knownPaths.contains(path), knownPaths + " lacks " + path);
        }
        assertEquals(
                described.size(),
                knownPaths.chars().filter(c -> c == '/').count() / 2 - 1,
                "no undescribed path: " + knownPaths);
    }
}
