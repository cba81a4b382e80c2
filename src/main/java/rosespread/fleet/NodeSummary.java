package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * One node as a controller reports it in {@code GET /v1/nodes}. A field that the document lacks is
 * empty or 0.
 *
 * @param name the node's name in the endpoint list; several nodes may share one
 * @param address HOST:PORT
 * @param zone the node's zone
 * @param machineType the node's machine type
 * @param state the name of the node's state, {@value #READY} if it may be used
 * @param drainedBy the operator who drains the node, empty if none does
 * @param lastAttemptAgoMillis time since a proxy last reported an attempt at the node, empty if
 *     none was ever reported
 * @param proxiesWithoutReport proxies whose reports are overdue, which may be using the node unseen
 */
public record NodeSummary(
        String name,
        String address,
        String zone,
        String machineType,
        String state,
        Optional<String> drainedBy,
        OptionalLong lastAttemptAgoMillis,
        int proxiesWithoutReport) {
    private static final String READY = "READY";

    /** Reads the body of a response to {@code GET /v1/nodes}. */
    public static List<NodeSummary> parseAll(JsonNode body) {
        List<NodeSummary> nodes = new ArrayList<>();
        body.forEach(node -> nodes.add(parse(node)));
        return List.copyOf(nodes);
    }

    private static NodeSummary parse(JsonNode node) {
        long attemptAgoMillis = node.path("triedAgoMs").asLong(-1);
        return new NodeSummary(
                node.path("name").asText(),
                node.path("address").asText(),
                node.path("zone").asText(),
                node.path("kind").asText(),
                node.path("state").asText(),
                Optional.of(node.path("drainedBy").asText()).filter(by -> !by.isEmpty()),
                attemptAgoMillis < 0 ? OptionalLong.empty() : OptionalLong.of(attemptAgoMillis),
                node.path("unheard").asInt());
    }

    /** Whether an operator's argument means this node: its name, or NAME@HOST:PORT. */
    public boolean isNamed(String nameOrQualifiedName) {
        return nameOrQualifiedName.equals(name) || nameOrQualifiedName.equals(name + "@" + address);
    }

    /** Whether the controller may direct traffic to the node. */
    public boolean isReady() {
        return state.equals(READY);
    }
}
