package rosespread.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import rosespread.drain.Drain;
import rosespread.table.TableSnapshot;

/**
 * Reads one table file: a snapshot, then entries. What a crash can leave, a last part that is not
 * whole, is cut; what it cannot leave, damage with a whole line after it or within the snapshot, is
 * refused with file and offset. One instance reads one file, on one thread.
 */
final class TableFileReader {
    /** A file is rewritten long before it is so large. */
    private static final long MAX_BYTES = 1L << 30;

    /**
     * What a file holds.
     *
     * @param snapshot with all entries applied
     * @param sequence of the last entry
     * @param entries that follow the file's own snapshot
     * @param cutBytes bytes at the end that were not whole
     * @param cutFrom the offset where they begin
     */
    record Content(
            StoreSnapshot snapshot, long sequence, long entries, long cutBytes, long cutFrom) {}

    private final Path path;
    private final byte[] bytes;

    /** The offset of the line that is read. */
    private int position;

    private long sequence;
    private long entries;
    private long layout;
    private final List<TableSnapshot> tables = new ArrayList<>();
    private final List<Drain> drains = new ArrayList<>();

    /** Null until the snapshot is complete. */
    private LogReplay replay;

    private TableFileReader(Path path, byte[] bytes) {
        this.path = path;
        this.bytes = bytes;
    }

    /**
     * Reads a file.
     *
     * @throws StoreException if it is damaged or too large; the message names file and offset
     * @throws IOException if it cannot be read
     */
    static Content read(Path path) throws IOException {
        long size = Files.size(path);
        if (size > MAX_BYTES) {
            throw new StoreException(path + ": " + size + " bytes; at most " + MAX_BYTES);
        }
        return new TableFileReader(path, Files.readAllBytes(path)).read();
    }

    private Content read() throws IOException {
        int cutFrom = bytes.length;
        while (position < bytes.length) {
            int end = LogLine.end(bytes, position);
            Optional<String> fault = LogLine.fault(bytes, position, end);
            if (fault.isPresent()) {
                // A snapshot is moved into place whole, so what a crash cuts short lies after it.
                if (replay == null || wholeLineAfter(end)) {
                    throw damaged(fault.get(), null);
                }
                cutFrom = position;
                break;
            }
            readLine(end);
            position = end + 1;
        }
        if (replay == null) {
            throw damaged("the file ends within its image", null);
        }
        return new Content(replay.snapshot(), sequence, entries, bytes.length - cutFrom, cutFrom);
    }

    private boolean wholeLineAfter(int end) {
        int from = end + 1;
        while (from < bytes.length) {
            int next = LogLine.end(bytes, from);
            if (LogLine.fault(bytes, from, next).isEmpty()) {
                return true;
            }
            from = next + 1;
        }
        return false;
    }

    private void readLine(int end) throws IOException {
        int json = LogLine.json(position);
        try {
            JsonNode line = LogEntryReader.parse(bytes, json, end - json);
            readSequence(line);
            if (replay == null) {
                readSnapshotLine(line);
            } else {
                readEntry(line);
            }
        } catch (StoreException | IllegalArgumentException e) {
            throw damaged(e.getMessage(), e);
        }
    }

    private void readSequence(JsonNode line) throws StoreException {
        long next = line.path("n").asLong(-1);
        boolean first = position == 0;
        // The lines of a snapshot share a sequence: that of the last entry it holds.
        boolean follows = replay == null ? first || next == sequence : next == sequence + 1;
        if (next < 0 || !follows) {
            throw new StoreException("sequence " + line.path("n") + " after " + sequence);
        }
        sequence = next;
    }

    private void readSnapshotLine(JsonNode line) throws StoreException {
        if (line.has("format")) {
            readHead(line);
        } else if (line.has("table")) {
            tables.add(LogEntryReader.table(line.path("table")));
        } else if (line.has("drain")) {
            drains.add(LogEntryReader.drain(line.path("drain")));
        } else if (line.path("tables").asInt(-1) == tables.size()) {
            replay = new LogReplay(new StoreSnapshot(layout, tables, drains));
        } else {
            throw new StoreException(
                    "the image ends after " + tables.size() + " tables with " + line);
        }
    }

    private void readHead(JsonNode line) throws StoreException {
        JsonNode format = line.path("format");
        if (format.asInt() != LogEntryWriter.FORMAT) {
            throw new StoreException(
                    "field format is " + format + "; allowed: " + LogEntryWriter.FORMAT);
        }
        layout = LogEntryReader.hex(line.path("layout"));
    }

    private void readEntry(JsonNode line) throws StoreException {
        entries++;
        if (line.has("version")) {
            replay.apply(LogEntryReader.versionDelta(line.path("version")));
        } else if (line.has("hold")) {
            replay.apply(LogEntryReader.pinChanged(line.path("hold")));
        } else if (line.has("drain")) {
            replay.apply(new LogEntry.DrainChanged(LogEntryReader.drain(line.path("drain"))));
        } else if (line.has("laidOut")) {
            replay.apply(new LogEntry.LayoutChanged(LogEntryReader.hex(line.path("laidOut"))));
        } else {
            throw new StoreException("an entry of no known kind");
        }
    }

    private StoreException damaged(String what, Exception cause) {
        return new StoreException(
                path + ": damaged at byte " + position + " of " + bytes.length + ": " + what,
                cause);
    }
}
