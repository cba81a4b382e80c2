package rosespread.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One table as a controller reports it in {@code GET /v1/tables}. A field that the document lacks
 * is empty or 0.
 *
 * @param number the table's number
 * @param version the number of the version in use
 * @param weights the weight of each node, by the node's name, in the document's order
 * @param hold the name of the table's hold state: not held, pinned or rolled back
 * @param rejectedChanges the number of changes that the validator rejected, for any reason
 * @param rejections the reasons why the latest change was rejected, empty if it was accepted
 * @param versions the stored versions, in the document's order
 */
public record TableSummary(
        int number,
        long version,
        Map<String, Double> weights,
        String hold,
        long rejectedChanges,
        List<String> rejections,
        List<Version> versions) {
    /**
     * A version that the controller has stored.
     *
     * @param number the version's number
     * @param cause the name of the cause of the version, such as a rollback
     * @param at the time at which the version was committed, by the controller's wall clock
     * @param entries the number of weight entries
     * @param changedEntries the number of entries that differ from the version before
     * @param digest the digest of the entries, in hexadecimal digits
     */
    public record Version(
            long number, String cause, Instant at, int entries, int changedEntries, String digest) {
        private static Version parse(JsonNode version) {
            return new Version(
                    version.path("number").asLong(),
                    version.path("cause").asText(),
                    Instant.ofEpochMilli(version.path("atMillis").asLong()),
                    version.path("lines").asInt(),
                    version.path("changed").asInt(),
                    version.path("digest").asText());
        }
    }

    /** Reads the body of a response to {@code GET /v1/tables}. */
    public static List<TableSummary> parseAll(JsonNode body) {
        List<TableSummary> tables = new ArrayList<>();
        body.forEach(table -> tables.add(parse(table)));
        return List.copyOf(tables);
    }

    /** Reads one element of the body of a response to {@code GET /v1/tables}. */
    public static TableSummary parse(JsonNode table) {
        List<String> rejections = new ArrayList<>();
        table.path("refusals").forEach(rejection -> rejections.add(rejection.asText()));
        List<Version> versions = new ArrayList<>();
        table.path("versions").forEach(version -> versions.add(Version.parse(version)));
        return new TableSummary(
                table.path("table").asInt(),
                table.path("version").asLong(),
                weights(table.path("lines")),
                table.path("held").asText(),
                sum(table.path("refused")),
                List.copyOf(rejections),
                List.copyOf(versions));
    }

    private static Map<String, Double> weights(JsonNode entries) {
        Map<String, Double> weights = new LinkedHashMap<>();
        entries.properties()
                .forEach(entry -> weights.put(entry.getKey(), entry.getValue().asDouble()));
        return Collections.unmodifiableMap(weights);
    }

    private static long sum(JsonNode countsByReason) {
        long total = 0;
        for (JsonNode count : countsByReason) {
            total += count.asLong();
        }
        return total;
    }
}
