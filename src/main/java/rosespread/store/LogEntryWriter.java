package rosespread.store;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import rosespread.api.NodeId;
import rosespread.drain.Drain;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;

/**
 * Writes the lines of a table file; docs/versions.md gives their form. Each is a CRC32C in eight
 * hexadecimal digits, a space, an object of JSON and a newline; no newline occurs within.
 */
final class LogEntryWriter {
    static final int FORMAT = 1;
    static final int CRC_DIGITS = 8;

    private static final JsonFactory JSON = new JsonFactory();

    private interface Body {
        void to(JsonGenerator out) throws IOException;
    }

    private LogEntryWriter() {}

    static byte[] head(long sequence, long layout) {
        return line(
                sequence,
                out -> {
                    out.writeNumberField("format", FORMAT);
                    out.writeStringField("layout", Long.toHexString(layout));
                });
    }

    /** The line after an image's last table: from here on entries follow. */
    static byte[] snapshotEnd(long sequence, int tables) {
        return line(sequence, out -> out.writeNumberField("tables", tables));
    }

    static byte[] entry(long sequence, LogEntry entry) {
        return line(
                sequence,
                out -> {
                    if (entry instanceof LogEntry.VersionCommitted committed) {
                        out.writeFieldName("version");
                        version(out, committed.version(), false);
                    } else if (entry instanceof LogEntry.PinChanged held) {
                        out.writeObjectFieldStart("hold");
                        out.writeNumberField("table", held.table().value());
                        out.writeStringField("state", held.state().name());
                        out.writeNumberField("to", held.rollbackTarget());
                        lines(out, "pending", held.pending());
                        out.writeEndObject();
                    } else if (entry instanceof LogEntry.DrainChanged drained) {
                        drain(out, drained.drain());
                    } else if (entry instanceof LogEntry.LayoutChanged laid) {
                        out.writeStringField("laidOut", Long.toHexString(laid.layout()));
                    }
                });
    }

    static byte[] drain(long sequence, Drain word) {
        return line(sequence, out -> drain(out, word));
    }

    private static void drain(JsonGenerator out, Drain word) throws IOException {
        out.writeObjectFieldStart("drain");
        out.writeStringField("node", Long.toHexString(word.node().value()));
        out.writeStringField("name", word.name());
        out.writeBooleanField("on", word.on());
        out.writeNumberField("stamp", word.stamp());
        out.writeStringField("by", word.by());
        out.writeStringField("call", word.call());
        out.writeNumberField("at", word.atMillis());
        out.writeEndObject();
    }

    /** Versions whose parent stands before them are written as what they changed. */
    static byte[] table(long sequence, TableSnapshot image) {
        return line(
                sequence,
                out -> {
                    out.writeObjectFieldStart("table");
                    out.writeStringField("hold", image.pinState().name());
                    out.writeNumberField("to", image.rollbackTarget());
                    lines(out, "pending", image.pending());
                    out.writeArrayFieldStart("kept");
                    for (long number : image.retained()) {
                        out.writeNumber(number);
                    }
                    out.writeEndArray();
                    out.writeArrayFieldStart("versions");
                    TableVersion before = null;
                    for (TableVersion version : image.versions()) {
                        version(
                                out,
                                version,
                                before == null || before.number() != version.parent());
                        before = version;
                    }
                    out.writeEndArray();
                    out.writeEndObject();
                });
    }

    private static void version(JsonGenerator out, TableVersion version, boolean whole)
            throws IOException {
        out.writeStartObject();
        out.writeNumberField("table", version.table().value());
        out.writeNumberField("number", version.number());
        out.writeNumberField("parent", version.parent());
        out.writeStringField("cause", version.cause().name());
        out.writeNumberField("at", version.atMillis());
        out.writeStringField("digest", Long.toHexString(version.digest()));
        lines(out, whole ? "lines" : "changes", whole ? version.lines() : version.changes());
        out.writeEndObject();
    }

    private static void lines(JsonGenerator out, String field, Map<NodeId, Double> lines)
            throws IOException {
        out.writeObjectFieldStart(field);
        for (Map.Entry<NodeId, Double> line : new TreeMap<>(lines).entrySet()) {
            out.writeNumberField(Long.toHexString(line.getKey().value()), line.getValue());
        }
        out.writeEndObject();
    }

    private static byte[] line(long sequence, Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("n", sequence);
            body.to(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] json = bytes.toByteArray();
        byte[] all = new byte[CRC_DIGITS + 1 + json.length + 1];
        byte[] crc = crc(json, 0, json.length).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(crc, 0, all, 0, CRC_DIGITS);
        all[CRC_DIGITS] = ' ';
        System.arraycopy(json, 0, all, CRC_DIGITS + 1, json.length);
        all[all.length - 1] = '\n';
        return all;
    }

    static String crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return String.format("%08x", crc.getValue());
    }
}
