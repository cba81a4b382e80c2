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
 * The JSON in which controllers exchange operators' drains: {@code {"words":[...]}}, node ids in
 * hexadecimal digits.
 */
public final class DrainJson {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_DRAINS = 8192;
    private static final long MAX_STAMP = 1L << 53;
    private static final int MAX_TEXT_LENGTH = 255;
    private static final int HEX = 16;
    private static final String NODE_ID_PATTERN = "[0-9a-f]{1,16}";

    private DrainJson() {}

    /** Writes drains in their order. */
    public static ObjectNode write(List<Drain> drains) {
        ObjectNode document = JSON.createObjectNode();
        ArrayNode words = document.putArray("words");
        for (Drain drain : drains) {
            words.addObject()
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
     * Reads drains; texts that are too long are cut.
     *
     * @throws IOException if it is not that JSON; the message names the entry at fault
     */
    public static List<Drain> read(byte[] json) throws IOException {
        JsonNode words = JSON.readTree(json).path("words");
        if (!words.isArray() || words.size() > MAX_DRAINS) {
            throw new IOException("field words is no array of at most " + MAX_DRAINS);
        }
        List<Drain> drains = new ArrayList<>();
        for (int i = 0; i < words.size(); i++) {
            JsonNode word = words.get(i);
            if (!isDrain(word)) {
                throw new IOException("words[" + i + "] is not a word on a node: " + word);
            }
            drains.add(read(word));
        }
        return drains;
    }

    private static boolean isDrain(JsonNode word) {
        long stamp = word.path("stamp").asLong(-1);
        return stamp >= 0
                && stamp <= MAX_STAMP
                && word.path("on").isBoolean()
                && word.path("node").asText().matches(NODE_ID_PATTERN);
    }

    private static Drain read(JsonNode word) {
        return new Drain(
                new NodeId(Long.parseUnsignedLong(word.path("node").asText(), HEX)),
                text(word, "name"),
                word.path("on").asBoolean(),
                word.path("stamp").asLong(),
                text(word, "by"),
                text(word, "call"),
                word.path("at").asLong());
    }

    private static String text(JsonNode word, String field) {
        String text = word.path(field).asText();
        return text.length() > MAX_TEXT_LENGTH ? text.substring(0, MAX_TEXT_LENGTH) : text;
    }
}
