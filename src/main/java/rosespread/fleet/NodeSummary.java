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
 * @param state the name of the node's state, {@value #READY} if the node may receive traffic
 * @param drainedBy the operator who drains the node, empty if no operator does
 * @param lastAttemptAgoMillis the time in milliseconds since a proxy last reported an attempt at
 *     the node, empty if no attempt was ever reported
 * @param proxiesWithoutReport the number of proxies whose reports are overdue; these proxies may
 *     still send requests to the node
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

    /** Returns whether an operator's argument, NAME or NAME@HOST:PORT, matches this node. */
    public boolean isNamed(String nameOrQualifiedName) {
        return nameOrQualifiedName.equals(name) || nameOrQualifiedName.equals(name + "@" + address);
    }

    /** Returns whether the controller may direct traffic to the node. */
    public boolean isReady() {
        return state.equals(READY);
    }
}
