package rosespread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Writes a log to a file on the disk. */
final class FileLogOutput implements LogOutput {
    private final FileChannel file;

    private FileLogOutput(FileChannel file) {
        this.file = file;
    }

    static FileLogOutput create(Path path) throws IOException {
        return new FileLogOutput(
                FileChannel.open(
                        path,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING));
    }

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
}
