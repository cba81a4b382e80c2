package rosespread.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Persists versions, pins and drains in one append-only file: a snapshot of all tables, then
 * entries. A thread of the store's own writes what has gathered and forces it to the disk at once,
 * so that one force serves all that waits. A file that has grown is followed by a shorter one with
 * a higher number, moved into place whole.
 *
 * <p>After a fault nothing is appended to that file any more: a new one is begun with a snapshot,
 * which is asked for once a second until it is written. Meanwhile {@link #fault} says what is
 * wrong. An entry that finds the queue full is in the next snapshot, and so is every one after it:
 * a file has no gaps.
 *
 * <p>{@link #append} and {@link #writeSnapshot} belong to one thread, the event loop; the other
 * methods may be called on any.
 */
public final class TableStore implements TableLog, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TableStore.class);
    private static final int MAX_QUEUED = 1 << 13;
    private static final int MAX_BATCH = 1 << 12;
    private static final long GROWN_BYTES = 4L << 20;
    private static final long POLL_MILLIS = 100;
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CLOSE_MILLIS = 2000;

    /** What the store's thread is to do. */
    private sealed interface Command {}

    /** Write an entry. */
    private record WriteEntry(long sequence, LogEntry entry) implements Command {}

    /** Begin a new file with a snapshot that holds all entries up to a sequence. */
    private record BeginFile(long sequence, StoreSnapshot snapshot) implements Command {}

    /** Look whether the store is closed. */
    private record Wake() implements Command {}

    private final Path path;
    private final LogOutput.Factory outputs;
    private final LongSupplier wallMillis;
    private final Runnable onProgress;
    private final long grownBytes;
    private final LinkedBlockingQueue<Command> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
    private final Thread thread = new Thread(this::run, "table-store");

    /** Notified after progress or a fault. */
    private final Object progress = new Object();

    private StoreFolder folder;
    private LogFileWriter writer;

    /** Sequence of the last entry taken; of the thread that appends. */
    private long appended;

    /** Whether an entry found the queue full since the last snapshot; of the same thread. */
    private boolean overflowed;

    /** Sequence of the last entry written; of the store's thread. */
    private long written;

    /** Whether the current file must not be appended to; of the store's thread. */
    private boolean broken;

    /** When a snapshot is asked for again, by {@link System#nanoTime}; of the store's thread. */
    private long retryAtNanos;

    private volatile long durable;
    private volatile boolean needsSnapshot;
    private volatile String fault = "";
    private volatile boolean closing;

    /**
     * A store that is still to be opened.
     *
     * @param wallMillis the wall clock, for the names of damaged files
     * @param onProgress called on the store's thread after {@link #durable} has risen or a fault
     *     began
     */
    public TableStore(
            Path folder, LogOutput.Factory outputs, LongSupplier wallMillis, Runnable onProgress) {
        this(folder, outputs, wallMillis, onProgress, GROWN_BYTES);
    }

    /**
     * A store with another limit on the size of a file.
     *
     * @param grownBytes the size from which on a file is followed by a shorter one
     */
    TableStore(
            Path folder,
            LogOutput.Factory outputs,
            LongSupplier wallMillis,
            Runnable onProgress,
            long grownBytes) {
        this.grownBytes = grownBytes;
        this.path = folder;
        this.outputs = outputs;
        this.wallMillis = wallMillis;
        this.onProgress = onProgress;
        thread.setDaemon(true);
    }

    /**
     * Restores what was stored and begins to write. A damaged file is set aside and nothing is
     * taken from it; the log names file and offset.
     *
     * @throws IOException if the folder cannot be read or is in use by another process
     */
    public StoreSnapshot open() throws IOException {
        folder = StoreFolder.open(path);
        List<Path> files = folder.files();
        StoreSnapshot restored = StoreSnapshot.EMPTY;
        long lastNumber = 0;
        if (!files.isEmpty()) {
            Path last = files.get(files.size() - 1);
            lastNumber = StoreFolder.number(last);
            // The last file was moved into place whole, so those before it are done with.
            for (Path old : files.subList(0, files.size() - 1)) {
                Files.delete(old);
            }
            restored = restore(last);
        }
        writer = new LogFileWriter(folder, outputs, lastNumber);
        durable = appended;
        try {
            begin(restored, appended);
        } catch (IOException e) {
            fail("cannot begin a file", e);
        }
        thread.start();
        return restored;
    }

    private StoreSnapshot restore(Path file) throws IOException {
        try {
            TableFileReader.Content content = TableFileReader.read(file);
            if (content.cutBytes() > 0) {
                LOG.warn(
                        "{}: the last {} bytes, from byte {} on, were not whole and are cut",
                        file,
                        content.cutBytes(),
                        content.cutFrom());
            }
            appended = content.sequence();
            LOG.atInfo()
                    .addKeyValue("file", file.toString())
                    .addKeyValue("tables", content.snapshot().tables().size())
                    .addKeyValue("entries", content.entries())
                    .log("tables restored");
            return content.snapshot();
        } catch (StoreException e) {
            Path aside =
                    file.resolveSibling(file.getFileName() + ".damaged-" + wallMillis.getAsLong());
            Files.move(file, aside);
            LOG.error(
                    "{}; set aside as {}; tables begin from the list and from what proxies hold",
                    e.getMessage(),
                    aside);
            return StoreSnapshot.EMPTY;
        }
    }

    @Override
    public long append(LogEntry entry) {
        appended++;
        if (!overflowed && !queue.offer(new WriteEntry(appended, entry))) {
            overflowed = true;
            fault = "the disk is " + MAX_QUEUED + " entries behind";
            needsSnapshot = true;
        }
        return appended;
    }

    @Override
    public long durable() {
        return durable;
    }

    /**
     * Waits for a sequence to be durable, as long as there is no fault. An interrupt ends the wait
     * and stays set.
     *
     * @param timeoutNanos the longest wait
     * @return whether the sequence is durable
     */
    public boolean await(long sequence, long timeoutNanos) {
        long until = System.nanoTime() + timeoutNanos;
        synchronized (progress) {
            while (durable < sequence && fault.isEmpty() && until - System.nanoTime() > 0) {
                try {
                    TimeUnit.NANOSECONDS.timedWait(progress, until - System.nanoTime());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    break;
                }
            }
        }
        return durable >= sequence;
    }

    @Override
    public boolean needsSnapshot() {
        return needsSnapshot;
    }

    @Override
    public void writeSnapshot(StoreSnapshot snapshot) {
        needsSnapshot = false;
        if (queue.offer(new BeginFile(appended, snapshot))) {
            overflowed = false;
        } else {
            needsSnapshot = true;
        }
    }

    @Override
    public String fault() {
        return fault;
    }

    @Override
    public long bytes() {
        return writer == null ? 0 : writer.bytes();
    }

    /** The store's thread. */
    private void run() {
        List<Command> batch = new ArrayList<>();
        while (!closing || !queue.isEmpty()) {
            try {
                Command first = queue.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    queue.drainTo(batch, MAX_BATCH);
                    write(batch);
                }
            } catch (IOException | RuntimeException e) {
                fail("cannot write", e);
            } catch (InterruptedException e) {
                // This thread is the store's own: an interrupt ends it once the queue is empty.
                closing = true;
            }
            batch.clear();
            askForSnapshot();
        }
    }

    /** During a fault, asks for a snapshot once a second. */
    private void askForSnapshot() {
        if (!fault.isEmpty() && System.nanoTime() - retryAtNanos >= 0) {
            retryAtNanos = System.nanoTime() + RETRY_NANOS;
            needsSnapshot = true;
            signalProgress();
        }
    }

    private void write(List<Command> batch) throws IOException {
        boolean unforced = false;
        for (Command command : batch) {
            if (command instanceof BeginFile next) {
                begin(next.snapshot(), next.sequence());
                recovered();
                durable = written;
                unforced = false;
            } else if (command instanceof WriteEntry entry
                    && !broken
                    && entry.sequence() > written) {
                writer.append(LogEntryWriter.entry(entry.sequence(), entry.entry()));
                written = entry.sequence();
                unforced = true;
            }
        }
        if (unforced) {
            writer.force();
            durable = written;
        }
        signalProgress();
        if (writer.hasGrown(grownBytes)) {
            needsSnapshot = true;
        }
    }

    private void begin(StoreSnapshot snapshot, long sequence) throws IOException {
        writer.begin(snapshot, sequence);
        written = sequence;
    }

    private void recovered() {
        if (!fault.isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("file", writer.file().toString())
                    .log("tables are persisted again");
        }
        fault = "";
        broken = false;
    }

    private void fail(String what, Exception e) {
        if (fault.isEmpty()) {
            LOG.atError().addKeyValue("reason", what + ": " + e).log("tables are not persisted");
        }
        broken = true;
        fault = what + ": " + (e.getMessage() == null ? e.toString() : e.getMessage());
        retryAtNanos = System.nanoTime() + RETRY_NANOS;
        signalProgress();
    }

    private void signalProgress() {
        synchronized (progress) {
            progress.notifyAll();
        }
        onProgress.run();
    }

    /** Writes what waits, for two seconds at most, and releases the folder. */
    @Override
    public void close() throws IOException {
        if (closing) {
            return;
        }
        closing = true;
        queue.offer(new Wake());
        try {
            thread.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (writer != null) {
            writer.close();
        }
        if (folder != null) {
            folder.close();
        }
    }
}
