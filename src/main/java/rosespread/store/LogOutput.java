package rosespread.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/**
 * Where the bytes of one table file go: the disk, or in tests one that fills up, stalls or breaks.
 * Used by one thread at a time.
 */
public interface LogOutput extends Closeable {
    /** Files on the disk. */
    Factory DISK = FileLogOutput::create;

    /**
     * Writes all remaining bytes.
     *
     * @throws IOException if not all could be written; a part may have been
     */
    void write(ByteBuffer bytes) throws IOException;

    /**
     * Returns once all that was written would outlive the machine.
     *
     * @throws IOException if that cannot be said
     */
    void force() throws IOException;

    /** Opens outputs. */
    @FunctionalInterface
    interface Factory {
        /**
         * A new, empty file; one that is there is emptied.
         *
         * @throws IOException if it cannot be created
         */
        LogOutput create(Path path) throws IOException;
    }
}
