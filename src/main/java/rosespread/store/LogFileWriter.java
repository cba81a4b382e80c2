package rosespread.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import rosespread.drain.Drain;
import rosespread.table.TableSnapshot;

/**
 * Writes the current table file, and begins the next one. A new file is written beside, forced and
 * moved into place, and only then the one before is deleted, so that a whole one is there at every
 * moment. Owned by the store's thread, but for {@link #bytes}.
 */
final class LogFileWriter implements Closeable {
    private final StoreFolder folder;
    private final LogOutput.Factory outputs;

    /** The number of the current file; of the last one found before the first was begun. */
    private long number;

    /** Null until the first file was begun. */
    private LogOutput output;

    private long snapshotBytes;
    private volatile long bytes;

    /**
     * A writer without a current file.
     *
     * @param lastNumber the highest number of a file in the folder, 0 if there is none
     */
    LogFileWriter(StoreFolder folder, LogOutput.Factory outputs, long lastNumber) {
        this.folder = folder;
        this.outputs = outputs;
        this.number = lastNumber;
    }

    /**
     * Begins the next file with a snapshot.
     *
     * @param sequence of the last entry that the snapshot holds
     * @throws IOException if it could not be written and moved into place; the current file stays
     */
    void begin(StoreSnapshot snapshot, long sequence) throws IOException {
        Path unfinished = folder.unfinished(number + 1);
        LogOutput next = outputs.create(unfinished);
        long length = 0;
        try {
            for (byte[] line : lines(snapshot, sequence)) {
                next.write(ByteBuffer.wrap(line));
                length += line.length;
            }
            next.force();
            Files.move(unfinished, folder.file(number + 1), StandardCopyOption.ATOMIC_MOVE);
            folder.force();
        } catch (IOException e) {
            next.close();
            Files.deleteIfExists(unfinished);
            throw e;
        }
        if (output != null) {
            output.close();
        }
        Files.deleteIfExists(folder.file(number));
        number++;
        output = next;
        bytes = length;
        snapshotBytes = length;
    }

    private static List<byte[]> lines(StoreSnapshot snapshot, long sequence) {
        List<byte[]> lines = new ArrayList<>();
        lines.add(LogEntryWriter.head(sequence, snapshot.layout()));
        for (TableSnapshot table : snapshot.tables()) {
            lines.add(LogEntryWriter.table(sequence, table));
        }
        for (Drain drain : snapshot.drains()) {
            lines.add(LogEntryWriter.drain(sequence, drain));
        }
        lines.add(LogEntryWriter.snapshotEnd(sequence, snapshot.tables().size()));
        return lines;
    }

    /** Writes a line; it is durable after {@link #force}. */
    void append(byte[] line) throws IOException {
        output.write(ByteBuffer.wrap(line));
        bytes += line.length;
    }

    /** Returns once all lines would outlive the machine. */
    void force() throws IOException {
        output.force();
    }

    /** Whether the file is larger than a limit in bytes and than twice its snapshot. */
    boolean hasGrown(long limit) {
        return bytes > limit && bytes > 2 * snapshotBytes;
    }

    /** The current file. */
    Path file() {
        return folder.file(number);
    }

    /** The size of the current file in bytes; may be called on any thread. */
    long bytes() {
        return bytes;
    }

    @Override
    public void close() throws IOException {
        if (output != null) {
            output.close();
        }
    }
}
