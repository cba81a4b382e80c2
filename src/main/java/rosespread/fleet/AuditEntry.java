package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * One line of a controller's audit log as {@code GET /v1/acts} reports it.
 *
 * @param at the time at which the controller wrote the line, by its wall clock
 * @param operator the operator who made the request; not authenticated
 * @param action the requested action
 * @param outcome the outcome of the request, or a note that the request was begun
 */
public record AuditEntry(Instant at, String operator, String action, String outcome) {
    /** Reads the body of a response to {@code GET /v1/acts}. */
    public static List<AuditEntry> parseAll(JsonNode body) {
        List<AuditEntry> entries = new ArrayList<>();
        body.forEach(entry -> entries.add(parse(entry)));
        return List.copyOf(entries);
    }

    private static AuditEntry parse(JsonNode entry) {
        JsonNode act = entry.path("act");
        return new AuditEntry(
                Instant.ofEpochMilli(entry.path("atMillis").asLong()),
                act.path("who").asText(),
                act.path("what").asText(),
                act.path("outcome").asText());
    }
}
