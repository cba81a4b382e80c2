package rosespread.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.drain.Drain;
import rosespread.table.PinState;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;

/**
 * Decodes the JSON of a table file's lines, the counterpart of {@link LogEntryWriter}. Throws a
 * {@link StoreException} or an {@link IllegalArgumentException} for an invalid value; the message
 * names the fault but not the file and byte. Stateless.
 */
final class LogEntryReader {
    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    private LogEntryReader() {}

    /** Parses the JSON object in a range of bytes. */
    static JsonNode parse(byte[] bytes, int from, int length) throws IOException {
        try {
            JsonNode line = JSON.readTree(bytes, from, length);
            if (line != null && line.isObject()) {
                return line;
            }
            throw new StoreException("line is not a JSON object");
        } catch (JsonProcessingException e) {
            throw new StoreException(e.getOriginalMessage(), e);
        }
    }

    /** Decodes a version as the changes from its parent. */
    static VersionDelta versionDelta(JsonNode version) throws StoreException {
        return new VersionDelta(
                tableId(version),
                integer(version, "number"),
                integer(version, "parent"),
                cause(version),
                integer(version, "at"),
                weights(version.path("changes")),
                hex(version.path("digest")));
    }

    /** Decodes a change of a table's pin. */
    static LogEntry.PinChanged pinChanged(JsonNode pin) throws StoreException {
        return new LogEntry.PinChanged(
                tableId(pin),
                PinState.valueOf(pin.path("state").asText()),
                integer(pin, "to"),
                weights(pin.path("pending")));
    }

    /** Decodes a table of a snapshot; checks the digest of each version against its entries. */
    static TableSnapshot table(JsonNode table) throws StoreException {
        List<TableVersion> versions = new ArrayList<>();
        for (JsonNode json : table.path("versions")) {
            TableVersion version = version(json, versions);
            checkDigest(version, json.path("digest"));
            versions.add(version);
        }
        Set<Long> retained = new TreeSet<>();
        table.path("kept").forEach(number -> retained.add(number.asLong()));
        return new TableSnapshot(
                versions,
                retained,
                PinState.valueOf(table.path("hold").asText()),
                integer(table, "to"),
                weights(table.path("pending")));
    }

    private static TableVersion version(JsonNode version, List<TableVersion> previous)
            throws StoreException {
        if (version.has("lines")) {
            return TableVersion.full(
                    tableId(version),
                    integer(version, "number"),
                    cause(version),
                    integer(version, "at"),
                    integer(version, "parent"),
                    weights(version.path("lines")));
        }
        if (previous.isEmpty()) {
            throw new StoreException("first version of the table has no field lines");
        }
        return previous.get(previous.size() - 1)
                .successor(
                        integer(version, "number"),
                        weights(version.path("changes")),
                        cause(version),
                        integer(version, "at"));
    }

    private static void checkDigest(TableVersion version, JsonNode stored) throws StoreException {
        if (version.digest() != hex(stored)) {
            throw StoreException.digestMismatch(version, stored.toString());
        }
    }

    /** Decodes an operator's drain or its end. */
    static Drain drain(JsonNode drain) throws StoreException {
        return new Drain(
                new NodeId(hex(drain.path("node"))),
                drain.path("name").asText(),
                drain.path("on").asBoolean(),
                integer(drain, "stamp"),
                drain.path("by").asText(),
                drain.path("call").asText(),
                integer(drain, "at"));
    }

    private static TableId tableId(JsonNode parent) throws StoreException {
        return new TableId((int) integer(parent, "table"));
    }

    private static TableVersion.Cause cause(JsonNode parent) {
        return TableVersion.Cause.valueOf(parent.path("cause").asText());
    }

    private static long integer(JsonNode parent, String field) throws StoreException {
        if (!parent.path(field).isIntegralNumber()) {
            throw new StoreException(
                    "field " + field + " is " + parent.path(field) + ", not an integer");
        }
        return parent.path(field).asLong();
    }

    /** Parses an unsigned hexadecimal number in a string. */
    static long hex(JsonNode text) {
        return Long.parseUnsignedLong(text.asText(), 16);
    }

    private static Map<NodeId, Double> weights(JsonNode entries) throws StoreException {
        Map<NodeId, Double> weights = new TreeMap<>();
        for (Map.Entry<String, JsonNode> entry : entries.properties()) {
            if (!entry.getValue().isNumber()) {
                throw new StoreException(
                        "weight of node "
                                + entry.getKey()
                                + " is "
                                + entry.getValue()
                                + ", not a number");
            }
            weights.put(
                    new NodeId(Long.parseUnsignedLong(entry.getKey(), 16)),
                    entry.getValue().asDouble());
        }
        return weights;
    }
}
