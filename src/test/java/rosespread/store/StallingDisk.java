package rosespread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

/** A disk whose {@code force} does not return from {@link #stall} to {@link #resume}. */
final class StallingDisk implements LogOutput.Factory {
    private final CountDownLatch resumed = new CountDownLatch(1);
    private volatile boolean stalled;

    void stall() {
        stalled = true;
    }

    void resume() {
        resumed.countDown();
    }

    @Override
    public LogOutput create(Path path) throws IOException {
        LogOutput file = LogOutput.DISK.create(path);
        return new LogOutput() {
            @Override
            public void write(ByteBuffer bytes) throws IOException {
                file.write(bytes);
            }

            @Override
            public void force() throws IOException {
                if (stalled) {
                    awaitResumed();
                }
                file.force();
            }

            @Override
            public void close() throws IOException {
                file.close();
            }
        };
    }

    private void awaitResumed() throws IOException {
        try {
            resumed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
