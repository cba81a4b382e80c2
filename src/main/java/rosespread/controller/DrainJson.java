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

/** Operators' words on nodes as conductors tell them to each other: {@code {"words":[...]}}. */
public final class DrainJson {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int WORDS_MOST = 8192;
    private static final long STAMP_MOST = 1L << 53;
    private static final int TEXT_MOST = 255;

    private DrainJson() {}

    public static ObjectNode write(List<Drain> words) {
        ObjectNode all = JSON.createObjectNode();
        ArrayNode each = all.putArray("words");
        words.forEach(
                word ->
                        each.addObject()
                                .put("node", Long.toHexString(word.node().value()))
                                .put("name", word.name())
                                .put("on", word.on())
                                .put("stamp", word.stamp())
                                .put("by", word.by())
                                .put("call", word.call())
                                .put("at", word.atMillis()));
        return all;
    }

    /**
     * @throws IOException if it is not that; the message names the word
     */
    public static List<Drain> read(byte[] json) throws IOException {
        JsonNode words = JSON.readTree(json).path("words");
        if (!words.isArray() || words.size() > WORDS_MOST) {
            throw new IOException("field words is no array of at most " + WORDS_MOST);
        }
        List<Drain> all = new ArrayList<>();
        for (int i = 0; i < words.size(); i++) {
            JsonNode word = words.get(i);
            long stamp = word.path("stamp").asLong(-1);
            if (stamp < 0
                    || stamp > STAMP_MOST
                    || !word.path("on").isBoolean()
                    || !word.path("node").asText().matches("[0-9a-f]{1,16}")) {
                throw new IOException("words[" + i + "] is not a word on a node: " + word);
            }
            all.add(
                    new Drain(
                            new NodeId(Long.parseUnsignedLong(word.path("node").asText(), 16)),
                            text(word, "name"),
                            word.path("on").asBoolean(),
                            stamp,
                            text(word, "by"),
                            text(word, "call"),
                            word.path("at").asLong()));
        }
        return all;
    }

    private static String text(JsonNode word, String field) {
        String text = word.path(field).asText();
        return text.length() > TEXT_MOST ? text.substring(0, TEXT_MOST) : text;
    }
}
