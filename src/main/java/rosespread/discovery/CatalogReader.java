package rosespread.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import rosespread.api.EventHandler.NodeState;

/**
 * Parses the response body of Consul's {@code /v1/health/service/NAME}.
 *
 * <p>Zone, machine type and start time (milliseconds since the epoch) are the values {@code zone},
 * {@code kind} and {@code started} of {@code Service.Meta}, or else of tags such as "zone=…". A
 * node whose service or machine is in maintenance is draining; a node with any other critical check
 * is gone, as its process does not run. Unknown fields are ignored.
 */
final class CatalogReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_ENTRIES = 100_000;
    private static final int MAX_HOST_LENGTH = 255;
    private static final int MAX_PORT = 65_535;
    private static final double DEFAULT_WEIGHT = 1;

    private CatalogReader() {}

    /**
     * The nodes in the order of the response.
     *
     * @throws NodeListException if the body is malformed
     */
    static List<ListedNode> read(String body) throws NodeListException {
        JsonNode entries = parse(body);
        if (entries == null || !entries.isArray() || entries.size() > MAX_ENTRIES) {
            throw new NodeListException(
                    "response body is not a JSON array of at most " + MAX_ENTRIES + " entries");
        }
        List<ListedNode> nodes = new ArrayList<>(entries.size());
        Set<Long> ids = new TreeSet<>();
        for (int i = 0; i < entries.size(); i++) {
            String path = "[" + i + "]";
            ListedNode node = node(entries.get(i), path);
            if (!ids.add(node.id().value())) {
                throw new NodeListException(
                        path + ".Service.ID " + node.name() + " is listed twice");
            }
            nodes.add(node);
        }
        return nodes;
    }

    private static JsonNode parse(String body) throws NodeListException {
        try {
            return JSON.readTree(body);
        } catch (JsonProcessingException e) {
            throw new NodeListException(
                    "response body is not valid JSON at line "
                            + e.getLocation().getLineNr()
                            + ", column "
                            + e.getLocation().getColumnNr());
        }
    }

    private static ListedNode node(JsonNode entry, String path) throws NodeListException {
        JsonNode service = entry.path("Service");
        String name = service.path("ID").asText();
        String host = host(entry);
        int port = service.path("Port").asInt();
        if (name.isEmpty() || !isValidAddress(host, port)) {
            throw new NodeListException(
                    path
                            + ".Service lacks an ID, an Address of at most 255 characters"
                            + " or a Port from 1 to 65535; Port is "
                            + port);
        }
        HealthStatus status = HealthStatus.of(entry.path("Checks"));
        long startedMillis = startedMillis(service, path);
        return new ListedNode(
                ListedNode.id(name, host, port),
                name,
                host,
                port,
                label(service, "zone", ""),
                label(service, "kind", ""),
                weight(service, status),
                status.nodeState(),
                startedMillis);
    }

    private static boolean isValidAddress(String host, int port) {
        return !host.isEmpty() && host.length() <= MAX_HOST_LENGTH && port >= 1 && port <= MAX_PORT;
    }

    /** The address of the service, or of its machine if the service has none. */
    private static String host(JsonNode entry) {
        String host = entry.path("Service").path("Address").asText();
        return host.isEmpty() ? entry.path("Node").path("Address").asText() : host;
    }

    private static double weight(JsonNode service, HealthStatus status) {
        String field = status.warning() ? "Warning" : "Passing";
        return service.path("Weights").path(field).asDouble(DEFAULT_WEIGHT);
    }

    private static long startedMillis(JsonNode service, String path) throws NodeListException {
        try {
            return Long.parseLong(label(service, "started", "0"));
        } catch (NumberFormatException e) {
            throw new NodeListException(
                    path + ".Service: value of started in Meta or Tags is not a whole number");
        }
    }

    /** The value in {@code Meta}, or else of a tag "name=value", or else the default. */
    private static String label(JsonNode service, String name, String defaultValue) {
        JsonNode meta = service.path("Meta").path(name);
        if (!meta.isMissingNode()) {
            return meta.asText();
        }
        for (JsonNode tag : service.path("Tags")) {
            if (tag.asText().startsWith(name + "=")) {
                return tag.asText().substring(name.length() + 1);
            }
        }
        return defaultValue;
    }

    /** The combined result of the checks of one service and its machine. */
    private record HealthStatus(boolean maintenance, boolean critical, boolean warning) {
        static HealthStatus of(JsonNode checks) {
            boolean maintenance = false;
            boolean critical = false;
            boolean warning = false;
            for (JsonNode check : checks) {
                boolean maintenanceCheck = isMaintenanceCheck(check.path("CheckID").asText());
                String status = check.path("Status").asText();
                boolean isCritical = status.equals("critical");
                maintenance |= maintenanceCheck && isCritical || status.equals("maintenance");
                critical |= !maintenanceCheck && isCritical;
                warning |= status.equals("warning");
            }
            return new HealthStatus(maintenance, critical, warning);
        }

        private static boolean isMaintenanceCheck(String checkId) {
            return checkId.equals("_node_maintenance")
                    || checkId.startsWith("_service_maintenance");
        }

        NodeState nodeState() {
            if (critical) {
                return NodeState.GONE;
            }
            return maintenance ? NodeState.DRAINING : NodeState.READY;
        }
    }
}
