package rosespread.store;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.drain.Drain;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;

/**
 * Encodes the content of a table file as lines ({@link LogLine}); docs/versions.md specifies their
 * JSON, {@link LogEntryReader} decodes them. Field names and order are stored data and must not
 * change. Node ids, digests and layouts are unsigned hexadecimal. Stateless.
 */
final class LogEntryWriter {
    /** Version of the file format, stored in the first line of a file. */
    static final int FORMAT = 1;

    private static final JsonFactory JSON = new JsonFactory();

    /** Writes the fields of one line that follow its sequence. */
    @FunctionalInterface
    private interface Fields {
        void writeTo(JsonGenerator out) throws IOException;
    }

    private LogEntryWriter() {}

    /** Encodes the first line of a file. */
    static byte[] header(long sequence, long layout) {
        return line(
                sequence,
                out -> {
                    out.writeNumberField("format", FORMAT);
                    out.writeStringField("layout", Long.toHexString(layout));
                });
    }

    /** Encodes the last line of a file's snapshot; entries follow it. */
    static byte[] snapshotEnd(long sequence, int tables) {
        return line(sequence, out -> out.writeNumberField("tables", tables));
    }

    /** Encodes an entry after the snapshot. */
    static byte[] entry(long sequence, LogEntry entry) {
        return line(
                sequence,
                out -> {
                    if (entry instanceof LogEntry.VersionCommitted committed) {
                        out.writeFieldName("version");
                        writeVersion(out, committed.version(), false);
                    } else if (entry instanceof LogEntry.PinChanged changed) {
                        writePin(out, changed);
                    } else if (entry instanceof LogEntry.DrainChanged changed) {
                        writeDrain(out, changed.drain());
                    } else if (entry instanceof LogEntry.LayoutChanged changed) {
                        out.writeStringField("laidOut", Long.toHexString(changed.layout()));
                    }
                });
    }

    /** Encodes a drain in a snapshot. */
    static byte[] drain(long sequence, Drain drain) {
        return line(sequence, out -> writeDrain(out, drain));
    }

    /**
     * Encodes a table in a snapshot. A version directly after its parent is written as its changes,
     * any other version with all its entries.
     */
    static byte[] table(long sequence, TableSnapshot table) {
        return line(
                sequence,
                out -> {
                    out.writeObjectFieldStart("table");
                    out.writeStringField("hold", table.pinState().name());
                    out.writeNumberField("to", table.rollbackTarget());
                    writeWeights(out, "pending", table.pending());
                    out.writeArrayFieldStart("kept");
                    for (long number : table.retained()) {
                        out.writeNumber(number);
                    }
                    out.writeEndArray();
                    writeVersions(out, table);
                    out.writeEndObject();
                });
    }

    private static void writeVersions(JsonGenerator out, TableSnapshot table) throws IOException {
        out.writeArrayFieldStart("versions");
        TableVersion previous = null;
        for (TableVersion version : table.versions()) {
            boolean full = previous == null || previous.number() != version.parent();
            writeVersion(out, version, full);
            previous = version;
        }
        out.writeEndArray();
    }

    private static void writeVersion(JsonGenerator out, TableVersion version, boolean full)
            throws IOException {
        out.writeStartObject();
        out.writeNumberField("table", version.table().value());
        out.writeNumberField("number", version.number());
        out.writeNumberField("parent", version.parent());
        out.writeStringField("cause", version.cause().name());
        out.writeNumberField("at", version.atMillis());
        out.writeStringField("digest", Long.toHexString(version.digest()));
        if (full) {
            writeWeights(out, "lines", version.entries());
        } else {
            writeWeights(out, "changes", version.changes());
        }
        out.writeEndObject();
    }

    private static void writePin(JsonGenerator out, LogEntry.PinChanged pin) throws IOException {
        out.writeObjectFieldStart("hold");
        out.writeNumberField("table", pin.table().value());
        out.writeStringField("state", pin.state().name());
        out.writeNumberField("to", pin.rollbackTarget());
        writeWeights(out, "pending", pin.pending());
        out.writeEndObject();
    }

    private static void writeDrain(JsonGenerator out, Drain drain) throws IOException {
        out.writeObjectFieldStart("drain");
        out.writeStringField("node", Long.toHexString(drain.node().value()));
        out.writeStringField("name", drain.name());
        out.writeBooleanField("on", drain.on());
        out.writeNumberField("stamp", drain.stamp());
        out.writeStringField("by", drain.by());
        out.writeStringField("call", drain.call());
        out.writeNumberField("at", drain.atMillis());
        out.writeEndObject();
    }

    private static void writeWeights(JsonGenerator out, String field, Map<NodeId, Double> weights)
            throws IOException {
        out.writeObjectFieldStart(field);
        for (Map.Entry<NodeId, Double> entry : new TreeMap<>(weights).entrySet()) {
            out.writeNumberField(Long.toHexString(entry.getKey().value()), entry.getValue());
        }
        out.writeEndObject();
    }

    private static byte[] line(long sequence, Fields fields) {
        ByteArrayOutputStream json = new ByteArrayOutputStream(256);
        try (JsonGenerator out = JSON.createGenerator(json)) {
            out.writeStartObject();
            out.writeNumberField("n", sequence);
            fields.writeTo(out);
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return LogLine.encode(json.toByteArray());
    }
}
