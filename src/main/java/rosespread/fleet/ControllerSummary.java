package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * One controller's status as {@code GET /v1/status} reports it. A field that the document lacks is
 * empty or 0.
 *
 * @param name the controller's name
 * @param phase the controller's phase, {@value #SERVING} in normal operation
 * @param proxies the number of connected proxies
 * @param subscribedProxies the number of proxies that are subscribed to a table
 * @param nodesByState listed nodes by the name of their state, in the document's order
 * @param queuedEntries the number of weight entries that wait for the channel
 * @param settings the settings in effect, empty before any were applied
 * @param tables the number of tables
 * @param heldTables the number of tables that an operator pinned or rolled back
 * @param drainedNodes the names of nodes that operators drain
 * @param faults the faults that the controller reports, a sentence each
 */
public record ControllerSummary(
        String name,
        String phase,
        int proxies,
        int subscribedProxies,
        Map<String, Integer> nodesByState,
        long queuedEntries,
        Optional<AppliedSettings> settings,
        int tables,
        int heldTables,
        SortedSet<String> drainedNodes,
        List<String> faults) {
    private static final String SERVING = "serving";
    private static final String NOT_HELD = "NONE";
    private static final List<String> FAULT_FIELDS =
            List.of("listTrouble", "settingsTrouble", "storageTrouble", "auditTrouble");

    /**
     * The settings in effect at a controller.
     *
     * @param revision the revision of the settings, which increases with each change
     * @param operator the operator who applied the settings
     */
    public record AppliedSettings(long revision, String operator) {}

    /** Reads the body of a response to {@code GET /v1/status}. */
    public static ControllerSummary parse(JsonNode body) {
        return new ControllerSummary(
                body.path("name").asText(),
                body.path("phase").asText(),
                body.path("proxies").asInt(),
                body.path("proxiesBound").asInt(),
                nodesByState(body.path("nodes")),
                body.path("linesWaiting").asLong(),
                settings(body),
                body.path("tables").size(),
                heldTables(body.path("tables")),
                fieldNames(body.path("drained")),
                faults(body));
    }

    /** Returns whether the controller has settings and directs its proxies. */
    public boolean isServing() {
        return phase.equals(SERVING);
    }

    /** Returns the number of listed nodes in any state. */
    public int listedNodes() {
        return nodesByState.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static Map<String, Integer> nodesByState(JsonNode counts) {
        Map<String, Integer> byState = new LinkedHashMap<>();
        counts.properties().forEach(count -> byState.put(count.getKey(), count.getValue().asInt()));
        return Collections.unmodifiableMap(byState);
    }

    private static Optional<AppliedSettings> settings(JsonNode body) {
        if (!body.has("settingsRevision")) {
            return Optional.empty();
        }
        return Optional.of(
                new AppliedSettings(
                        body.path("settingsRevision").asLong(), body.path("settingsBy").asText()));
    }

    private static int heldTables(JsonNode tables) {
        int held = 0;
        for (JsonNode table : tables) {
            if (!table.path("held").asText().equals(NOT_HELD)) {
                held++;
            }
        }
        return held;
    }

    private static SortedSet<String> fieldNames(JsonNode object) {
        SortedSet<String> names = new TreeSet<>();
        object.fieldNames().forEachRemaining(names::add);
        return Collections.unmodifiableSortedSet(names);
    }

    private static List<String> faults(JsonNode body) {
        List<String> faults = new ArrayList<>();
        for (String field : FAULT_FIELDS) {
            String fault = body.path(field).asText();
            if (!fault.isEmpty()) {
                faults.add(fault);
            }
        }
        return List.copyOf(faults);
    }
}
