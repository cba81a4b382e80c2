package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/**
 * The weight of one node in two versions of a table, as {@code GET /v1/tables/N/diff} reports it.
 *
 * @param node the node's name
 * @param before the weight in the earlier version, 0 if that version has no entry for the node
 * @param after the weight in the later version, 0 if that version has no entry for the node
 */
public record WeightChange(String node, double before, double after) {
    /** Reads the body of a response to {@code GET /v1/tables/N/diff}. */
    public static List<WeightChange> parseAll(JsonNode body) {
        List<WeightChange> changes = new ArrayList<>();
        for (JsonNode change : body.path("lines")) {
            changes.add(
                    new WeightChange(
                            change.path("node").asText(),
                            change.path("before").asDouble(),
                            change.path("after").asDouble()));
        }
        return List.copyOf(changes);
    }

    /** Returns whether only the later version has an entry for the node. */
    public boolean isAdded() {
        return before == 0;
    }

    /** Returns whether only the earlier version has an entry for the node. */
    public boolean isRemoved() {
        return before != 0 && after == 0;
    }
}
