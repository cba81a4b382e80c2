package rosespread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;

/** A disk that accepts a number of bytes and then fails in the middle of a write. */
final class FullDisk implements LogOutput.Factory {
    private final AtomicLong freeBytes;

    FullDisk(long freeBytes) {
        this.freeBytes = new AtomicLong(freeBytes);
    }

    void setFreeBytes(long bytes) {
        freeBytes.set(bytes);
    }

    @Override
    public LogOutput create(Path path) throws IOException {
        LogOutput file = LogOutput.DISK.create(path);
        return new LogOutput() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                int writable = (int) Math.min(bytes.remaining(), Math.max(0, freeBytes.get()));
                freeBytes.addAndGet(-writable);
                boolean complete = writable == bytes.remaining();
                file.write(bytes.slice().limit(writable));
                if (!complete) {
                    throw new IOException("No space left on device");
                }
            }

            @Override
            public void force() throws IOException {
                file.force();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }
}
