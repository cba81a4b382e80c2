package rosespread.controller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rosespread.api.NodeId;
import rosespread.drain.Drain;

/**
 * Reads and writes the JSON in which controllers exchange operators' drains: {@code
 * {"words":[...]}}, with node ids in hexadecimal digits.
 */
public final class DrainJson {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_DRAINS = 8192;
    private static final long MAX_STAMP = 1L << 53;
    private static final int MAX_TEXT_LENGTH = 255;
    private static final int HEX = 16;
    private static final String NODE_ID_PATTERN = "[0-9a-f]{1,16}";

    private DrainJson() {}

    /** Writes drains in the order given. */
    public static ObjectNode write(List<Drain> drains) {
        ObjectNode document = JSON.createObjectNode();
        ArrayNode entries = document.putArray("words");
        for (Drain drain : drains) {
            entries.addObject()
                    .put("node", Long.toHexString(drain.node().value()))
                    .put("name", drain.name())
                    .put("on", drain.on())
                    .put("stamp", drain.stamp())
                    .put("by", drain.by())
                    .put("call", drain.call())
                    .put("at", drain.atMillis());
        }
        return document;
    }

    /**
     * Reads drains; names, operators and request ids that are too long are truncated.
     *
     * @throws IOException if the JSON is malformed or not of this form; the message says where
     */
    public static List<Drain> read(byte[] json) throws IOException {
        JsonNode entries = JSON.readTree(json).path("words");
        if (!entries.isArray() || entries.size() > MAX_DRAINS) {
            throw new IOException(
                    "field words: expected an array of at most "
                            + MAX_DRAINS
                            + " drains, found "
                            + entries.getNodeType()
                            + " of size "
                            + entries.size());
        }
        List<Drain> drains = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            JsonNode entry = entries.get(i);
            if (!isDrain(entry)) {
                throw new IOException(
                        "field words["
                                + i
                                + "]: expected a drain with valid node, stamp and on, found "
                                + entry);
            }
            drains.add(read(entry));
        }
        return drains;
    }

    private static boolean isDrain(JsonNode entry) {
        long stamp = entry.path("stamp").asLong(-1);
        return stamp >= 0
                && stamp <= MAX_STAMP
                && entry.path("on").isBoolean()
                && entry.path("node").asText().matches(NODE_ID_PATTERN);
    }

    private static Drain read(JsonNode entry) {
        return new Drain(
                new NodeId(Long.parseUnsignedLong(entry.path("node").asText(), HEX)),
                text(entry, "name"),
                entry.path("on").asBoolean(),
                entry.path("stamp").asLong(),
                text(entry, "by"),
                text(entry, "call"),
                entry.path("at").asLong());
    }

    private static String text(JsonNode entry, String field) {
        String text = entry.path(field).asText();
        return text.length() > MAX_TEXT_LENGTH ? text.substring(0, MAX_TEXT_LENGTH) : text;
    }
}
