package rosespread.discovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import rosespread.api.EventHandler.NodeState;

/**
 * Reads an answer of Consul's {@code /v1/health/service/NAME}. Zone, kind and start come from
 * {@code Meta} (zone, kind, started as epoch milliseconds) or else from tags "zone=…", "kind=…",
 * "started=…"; maintenance of the service or its machine is a drain, any other critical check means
 * that no process runs.
 */
final class CatalogReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MOST = 100_000;

    private CatalogReader() {}

    /**
     * @throws NodeListException if the body is not such an answer; names entry and field
     */
    static List<ListedNode> read(String body) throws NodeListException {
        JsonNode all;
        try {
            all = JSON.readTree(body);
        } catch (JsonProcessingException e) {
            throw new NodeListException(
                    "not JSON at line "
                            + e.getLocation().getLineNr()
                            + ", column "
                            + e.getLocation().getColumnNr());
        }
        if (all == null || !all.isArray() || all.size() > MOST) {
            throw new NodeListException("not an array of at most " + MOST + " entries");
        }
        List<ListedNode> nodes = new ArrayList<>(all.size());
        TreeSet<Long> seen = new TreeSet<>();
        for (int i = 0; i < all.size(); i++) {
            ListedNode node = node(all.get(i), "[" + i + "]");
            if (!seen.add(node.id().value())) {
                throw new NodeListException(
                        "[" + i + "].Service.ID " + node.name() + " is listed twice");
            }
            nodes.add(node);
        }
        return nodes;
    }

    private static ListedNode node(JsonNode entry, String at) throws NodeListException {
        JsonNode service = entry.path("Service");
        String name = service.path("ID").asText();
        String host = service.path("Address").asText();
        if (host.isEmpty()) {
            host = entry.path("Node").path("Address").asText();
        }
        int port = service.path("Port").asInt();
        if (name.isEmpty() || host.isEmpty() || host.length() > 255 || port < 1 || port > 65_535) {
            throw new NodeListException(
                    at + ".Service lacks ID, Address or a Port from 1 to 65535");
        }
        boolean draining = false;
        boolean critical = false;
        boolean warning = false;
        for (JsonNode check : entry.path("Checks")) {
            String id = check.path("CheckID").asText();
            String status = check.path("Status").asText();
            boolean maintenance =
                    id.equals("_node_maintenance") || id.startsWith("_service_maintenance");
            draining |= maintenance && status.equals("critical") || status.equals("maintenance");
            critical |= !maintenance && status.equals("critical");
            warning |= status.equals("warning");
        }
        double weight = service.path("Weights").path(warning ? "Warning" : "Passing").asDouble(1);
        long started;
        try {
            started = Long.parseLong(label(service, "started", "0"));
        } catch (NumberFormatException e) {
            throw new NodeListException(at + ".Service.Meta.started is not a whole number");
        }
        NodeState state =
                critical ? NodeState.GONE : draining ? NodeState.DRAINING : NodeState.READY;
        return new ListedNode(
                ListedNode.id(name, host, port),
                name,
                host,
                port,
                label(service, "zone", ""),
                label(service, "kind", ""),
                weight,
                state,
                started);
    }

    private static String label(JsonNode service, String name, String absent) {
        JsonNode meta = service.path("Meta").path(name);
        if (!meta.isMissingNode()) {
            return meta.asText();
        }
        for (JsonNode tag : service.path("Tags")) {
            if (tag.asText().startsWith(name + "=")) {
                return tag.asText().substring(name.length() + 1);
            }
        }
        return absent;
    }
}
