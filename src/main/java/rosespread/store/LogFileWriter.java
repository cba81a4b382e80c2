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
 * Writes the current table file, and begins the next one. A new file is written under a temporary
 * name, forced and renamed before the previous one is deleted, so that there is a complete file at
 * every moment. Owned by the store's thread, except for {@link #bytes}.
 */
final class LogFileWriter implements Closeable {
    private final StoreFolder folder;
    private final LogOutput.Factory outputs;

    /**
     * Number of the current file; until the first file is begun, the highest number of a file in
     * the folder.
     */
    private long number;

    /** Output to the current file; null until the first file is begun. */
    private LogOutput output;

    private long snapshotBytes;
    private volatile long bytes;

    /**
     * Creates a writer without a current file.
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
     * @param sequence the sequence of the last entry in the snapshot
     * @throws IOException if the file could not be written and renamed; the current file stays
     */
    void begin(StoreSnapshot snapshot, long sequence) throws IOException {
        Path temporary = folder.temporaryFile(number + 1);
        LogOutput next = outputs.create(temporary);
        long length = 0;
        try {
            for (byte[] line : lines(snapshot, sequence)) {
                next.write(ByteBuffer.wrap(line));
                length += line.length;
            }
            next.force();
            Files.move(temporary, folder.file(number + 1), StandardCopyOption.ATOMIC_MOVE);
            folder.force();
        } catch (IOException e) {
            next.close();
            Files.deleteIfExists(temporary);
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
        lines.add(LogEntryWriter.header(sequence, snapshot.layout()));
        for (TableSnapshot table : snapshot.tables()) {
            lines.add(LogEntryWriter.table(sequence, table));
        }
        for (Drain drain : snapshot.drains()) {
            lines.add(LogEntryWriter.drain(sequence, drain));
        }
        lines.add(LogEntryWriter.snapshotEnd(sequence, snapshot.tables().size()));
        return lines;
    }

    /** Writes a line, which is durable after {@link #force}. */
    void append(byte[] line) throws IOException {
        output.write(ByteBuffer.wrap(line));
        bytes += line.length;
    }

    /** Forces all lines to the disk; they survive a machine crash once this returns. */
    void force() throws IOException {
        output.force();
    }

    /**
     * Returns whether the current file should be replaced by a shorter one: whether it is larger
     * than the limit in bytes and larger than twice its snapshot.
     */
    boolean needsCompaction(long limit) {
        return bytes > limit && bytes > 2 * snapshotBytes;
    }

    /** Returns the current file. */
    Path file() {
        return folder.file(number);
    }

    /** Returns the size of the current file in bytes; may be called on any thread. */
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
