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
 * Reads one table file: a snapshot, then entries. If a crash left the end of the entries
 * incomplete, this end is discarded. Damage within the snapshot or before a valid line cannot come
 * from a crash; the file is then rejected with path and offset. One instance reads one file, on one
 * thread.
 */
final class TableFileReader {
    /**
     * Maximum size of a file in bytes; a larger file is rejected. {@link TableStore} begins a new
     * file once the current one exceeds 4 MiB and twice its snapshot.
     */
    private static final long MAX_BYTES = 1L << 30;

    /**
     * The content of a file.
     *
     * @param snapshot the snapshot with all entries applied
     * @param sequence the sequence of the last entry
     * @param entries the number of entries after the file's own snapshot
     * @param discardedBytes the number of bytes in the incomplete end, 0 if there is none
     * @param discardedFrom the offset where the incomplete end begins
     */
    record Content(
            StoreSnapshot snapshot,
            long sequence,
            long entries,
            long discardedBytes,
            long discardedFrom) {}

    private final Path path;
    private final byte[] bytes;

    /** Offset of the current line in the file, in bytes. */
    private int position;

    private long sequence;
    private long entries;
    private long layout;
    private final List<TableSnapshot> tables = new ArrayList<>();
    private final List<Drain> drains = new ArrayList<>();

    /** Replay of the entries after the snapshot; null until the whole snapshot has been read. */
    private LogReplay replay;

    private TableFileReader(Path path, byte[] bytes) {
        this.path = path;
        this.bytes = bytes;
    }

    /**
     * Reads a file.
     *
     * @throws StoreException if the file is damaged, or too large; the message names the file, and
     *     the offset of the damage
     * @throws IOException if the file cannot be read
     */
    static Content read(Path path) throws IOException {
        long size = Files.size(path);
        if (size > MAX_BYTES) {
            throw new StoreException(
                    path + ": size is " + size + " bytes; allowed: at most " + MAX_BYTES);
        }
        return new TableFileReader(path, Files.readAllBytes(path)).read();
    }

    private Content read() throws IOException {
        int discardedFrom = bytes.length;
        while (position < bytes.length) {
            int end = LogLine.end(bytes, position);
            Optional<String> fault = LogLine.fault(bytes, position, end);
            if (fault.isPresent()) {
                // A file gets its final name only with a complete snapshot: a crash can truncate
                // only the entries after it.
                if (replay == null || hasValidLineAfter(end)) {
                    throw damaged(fault.get(), null);
                }
                discardedFrom = position;
                break;
            }
            readLine(end);
            position = end + 1;
        }
        if (replay == null) {
            throw damaged("file ends within its snapshot", null);
        }
        return new Content(
                replay.snapshot(), sequence, entries, bytes.length - discardedFrom, discardedFrom);
    }

    private boolean hasValidLineAfter(int end) {
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
        int json = LogLine.jsonStart(position);
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
        // All lines of a snapshot have the sequence of the last entry in it.
        boolean follows = replay == null ? first || next == sequence : next == sequence + 1;
        if (next < 0 || !follows) {
            throw new StoreException(
                    "sequence " + line.path("n") + " does not follow sequence " + sequence);
        }
        sequence = next;
    }

    private void readSnapshotLine(JsonNode line) throws StoreException {
        if (line.has("format")) {
            readHeader(line);
        } else if (line.has("table")) {
            tables.add(LogEntryReader.table(line.path("table")));
        } else if (line.has("drain")) {
            drains.add(LogEntryReader.drain(line.path("drain")));
        } else if (line.path("tables").asInt(-1) == tables.size()) {
            replay = new LogReplay(new StoreSnapshot(layout, tables, drains));
        } else {
            throw new StoreException(
                    "unexpected line after " + tables.size() + " tables of the snapshot: " + line);
        }
    }

    private void readHeader(JsonNode line) throws StoreException {
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
            throw new StoreException("unknown entry type");
        }
    }

    private StoreException damaged(String fault, Exception cause) {
        return new StoreException(
                path + ": damaged at byte " + position + " of " + bytes.length + ": " + fault,
                cause);
    }
}
