package rosespread.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/**
 * The output for one table file: the disk, or in tests a disk that fills up, stalls or fails. Used
 * by one thread at a time.
 */
public interface LogOutput extends Closeable {
    /** Creates outputs that write to files on the disk. */
    Factory DISK = FileLogOutput::create;

    /**
     * Writes all remaining bytes.
     *
     * @throws IOException if not all bytes could be written; some may have been written
     */
    void write(ByteBuffer bytes) throws IOException;

    /**
     * Forces all written bytes to the disk; they survive a machine crash once this returns.
     *
     * @throws IOException if the bytes may not be on the disk
     */
    void force() throws IOException;

    /** Creates the outputs of table files. */
    @FunctionalInterface
    interface Factory {
        /**
         * Creates an empty file; an existing file is truncated.
         *
         * @throws IOException if the file cannot be created
         */
        LogOutput create(Path path) throws IOException;
    }
}
