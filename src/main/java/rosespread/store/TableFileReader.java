package rosespread.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
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
 * Reads a table file. What a crash can leave, a last part that is not whole, is cut; what it cannot
 * leave, damage with whole lines after it, is refused with file and offset.
 */
final class TableFileReader {
    /** A file is rewritten long before it is so large. */
    private static final long LONGEST = 1L << 30;

    private static final ObjectMapper JSON =
            JsonMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

    /**
     * @param cut bytes at the end that were not whole; @param from where they began
     */
    record Content(StoreSnapshot image, long sequence, long entries, long cut, long from) {}

    private final Path path;
    private final byte[] bytes;
    private int at;
    private long sequence;
    private long entries;
    private LogReplay replay;

    private TableFileReader(Path path, byte[] bytes) {
        this.path = path;
        this.bytes = bytes;
    }

    /**
     * @throws StoreException with file and offset, if it is damaged
     */
    static Content read(Path path) throws IOException {
        if (Files.size(path) > LONGEST) {
            throw new StoreException(path + ": " + Files.size(path) + " bytes; at most " + LONGEST);
        }
        return new TableFileReader(path, Files.readAllBytes(path)).read();
    }

    private Content read() throws IOException {
        List<TableSnapshot> tables = new ArrayList<>();
        List<Drain> drains = new ArrayList<>();
        long layout = 0;
        boolean whole = false;
        int cutAt = bytes.length;
        while (at < bytes.length) {
            int end = end(at);
            String fault = fault(at, end);
            if (!fault.isEmpty()) {
                // An image is moved into place whole, so what a crash cuts short lies after it.
                if (!whole || wholeLineAfter(end)) {
                    throw damaged(fault);
                }
                cutAt = at;
                break;
            }
            JsonNode line = parse(end);
            sequence(line);
            try {
                if (replay != null) {
                    entry(line);
                } else if (line.has("format")) {
                    if (line.path("format").asInt() != LogEntryWriter.FORMAT) {
                        throw damaged(
                                "field format is "
                                        + line.path("format")
                                        + "; allowed: "
                                        + LogEntryWriter.FORMAT);
                    }
                    layout = hex(line.path("layout"));
                } else if (line.has("table")) {
                    tables.add(table(line.path("table")));
                } else if (line.has("drain")) {
                    drains.add(drain(line.path("drain")));
                } else if (line.path("tables").asInt(-1) == tables.size()) {
                    replay = new LogReplay(new StoreSnapshot(layout, tables, drains));
                    whole = true;
                } else {
                    throw damaged("the image ends after " + tables.size() + " tables with " + line);
                }
            } catch (StoreException | IllegalArgumentException e) {
                throw e.getMessage().startsWith(path.toString()) && e instanceof StoreException told
                        ? told
                        : damaged(e.getMessage());
            }
            at = end + 1;
        }
        if (!whole) {
            throw damaged("the file ends within its image");
        }
        return new Content(replay.snapshot(), sequence, entries, bytes.length - cutAt, cutAt);
    }

    private int end(int from) {
        int end = from;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        return end;
    }

    /** What is wrong with a line by its form; empty if nothing is. */
    private String fault(int from, int end) {
        int json = from + LogEntryWriter.CRC_DIGITS + 1;
        if (end >= bytes.length) {
            return "a line without its end";
        }
        if (json > end || bytes[json - 1] != ' ') {
            return "a line without a checksum";
        }
        String told =
                new String(bytes, from, LogEntryWriter.CRC_DIGITS, StandardCharsets.ISO_8859_1);
        String is = LogEntryWriter.crc(bytes, json, end - json);
        return told.equals(is) ? "" : "the checksum is " + is + ", written was " + printable(told);
    }

    private static String printable(String text) {
        return "\"" + text.replaceAll("[^ -~]", "?") + "\"";
    }

    private boolean wholeLineAfter(int end) {
        for (int from = end + 1; from < bytes.length; from = end(from) + 1) {
            if (fault(from, end(from)).isEmpty()) {
                return true;
            }
        }
        return false;
    }

    private JsonNode parse(int end) throws IOException {
        int json = at + LogEntryWriter.CRC_DIGITS + 1;
        try {
            JsonNode line = JSON.readTree(bytes, json, end - json);
            if (line != null && line.isObject()) {
                return line;
            }
            throw damaged("not an object");
        } catch (JsonProcessingException e) {
            throw damaged(e.getOriginalMessage());
        }
    }

    private void sequence(JsonNode line) throws StoreException {
        long next = line.path("n").asLong(-1);
        // The lines of an image share a sequence: that of the last entry it holds.
        if (next < 0
                || replay == null && at > 0 && next != sequence
                || replay != null && next != sequence + 1) {
            throw damaged("sequence " + line.path("n") + " after " + sequence);
        }
        sequence = next;
    }

    private void entry(JsonNode line) throws StoreException {
        entries++;
        if (line.has("version")) {
            JsonNode v = line.path("version");
            replay.committed(
                    id(v),
                    number(v, "number"),
                    number(v, "parent"),
                    cause(v),
                    number(v, "at"),
                    lines(v.path("changes")),
                    hex(v.path("digest")));
        } else if (line.has("hold")) {
            JsonNode h = line.path("hold");
            replay.apply(
                    new LogEntry.PinChanged(
                            id(h),
                            PinState.valueOf(h.path("state").asText()),
                            number(h, "to"),
                            lines(h.path("pending"))));
        } else if (line.has("drain")) {
            replay.apply(new LogEntry.DrainChanged(drain(line.path("drain"))));
        } else if (line.has("laidOut")) {
            replay.apply(new LogEntry.LayoutChanged(hex(line.path("laidOut"))));
        } else {
            throw new StoreException("an entry of no known kind");
        }
    }

    private TableSnapshot table(JsonNode table) throws StoreException {
        List<TableVersion> versions = new ArrayList<>();
        for (JsonNode v : table.path("versions")) {
            TableVersion version;
            if (v.has("lines")) {
                version =
                        TableVersion.whole(
                                id(v),
                                number(v, "number"),
                                cause(v),
                                number(v, "at"),
                                number(v, "parent"),
                                lines(v.path("lines")));
            } else {
                if (versions.isEmpty()) {
                    throw new StoreException("the first version has no lines");
                }
                version =
                        versions.get(versions.size() - 1)
                                .successor(
                                        number(v, "number"),
                                        lines(v.path("changes")),
                                        cause(v),
                                        number(v, "at"));
            }
            if (version.digest() != hex(v.path("digest"))) {
                throw new StoreException(
                        "table "
                                + version.table().value()
                                + ": version "
                                + version.number()
                                + " has digest "
                                + Long.toHexString(version.digest())
                                + ", written was "
                                + v.path("digest"));
            }
            versions.add(version);
        }
        Set<Long> kept = new TreeSet<>();
        table.path("kept").forEach(number -> kept.add(number.asLong()));
        return new TableSnapshot(
                versions,
                kept,
                PinState.valueOf(table.path("hold").asText()),
                number(table, "to"),
                lines(table.path("pending")));
    }

    private static Drain drain(JsonNode of) throws StoreException {
        return new Drain(
                new NodeId(hex(of.path("node"))),
                of.path("name").asText(),
                of.path("on").asBoolean(),
                number(of, "stamp"),
                of.path("by").asText(),
                of.path("call").asText(),
                number(of, "at"));
    }

    private static TableId id(JsonNode of) throws StoreException {
        return new TableId((int) number(of, "table"));
    }

    private static TableVersion.Cause cause(JsonNode of) {
        return TableVersion.Cause.valueOf(of.path("cause").asText());
    }

    private static long number(JsonNode of, String field) throws StoreException {
        if (!of.path(field).isIntegralNumber()) {
            throw new StoreException(
                    "field " + field + " is " + of.path(field) + ", not a whole number");
        }
        return of.path(field).asLong();
    }

    private static long hex(JsonNode node) {
        return Long.parseUnsignedLong(node.asText(), 16);
    }

    private static Map<NodeId, Double> lines(JsonNode of) throws StoreException {
        Map<NodeId, Double> lines = new TreeMap<>();
        for (Map.Entry<String, JsonNode> line : of.properties()) {
            if (!line.getValue().isNumber()) {
                throw new StoreException(
                        "line " + line.getKey() + " has weight " + line.getValue());
            }
            lines.put(
                    new NodeId(Long.parseUnsignedLong(line.getKey(), 16)),
                    line.getValue().asDouble());
        }
        return lines;
    }

    private StoreException damaged(String what) {
        return new StoreException(
                path + ": damaged at byte " + at + " of " + bytes.length + ": " + what);
    }
}
