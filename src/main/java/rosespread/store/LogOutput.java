package rosespread.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Where bytes of a file go: the disk, or in tests one that fills up, stalls or breaks. */
public interface LogOutput extends Closeable {
    /** Writes all that remains. */
    void write(ByteBuffer bytes) throws IOException;

    /** Returns once what was written would outlive the machine. */
    void force() throws IOException;

    /** Opens files. */
    @FunctionalInterface
    interface Factory {
        /** A new, empty file. */
        LogOutput create(Path path) throws IOException;
    }

    Factory DISK =
            path -> {
                FileChannel file =
                        FileChannel.open(
                                path,
                                StandardOpenOption.CREATE,
                                StandardOpenOption.WRITE,
                                StandardOpenOption.TRUNCATE_EXISTING);
                return new LogOutput() {
                    @Override
                    public void write(ByteBuffer bytes) throws IOException {
                        while (bytes.hasRemaining()) {
                            file.write(bytes);
                        }
                    }

                    @Override
                    public void force() throws IOException {
                        file.force(false);
                    }

                    @Override
                    public void close() throws IOException {
                        file.close();
                    }
                };
            };
}
