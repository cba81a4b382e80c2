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
 * entries. The store's own thread writes all queued entries and then forces them to the disk, so
 * that one force serves all of them. A file that exceeds both a size limit and twice its snapshot
 * is replaced by a shorter file with a higher number, which gets its final name once its snapshot
 * is complete.
 *
 * <p>After a fault nothing more is appended to the current file: a new one is begun with a
 * snapshot, which is requested once a second until it is written. Meanwhile {@link #fault} names
 * the reason. An entry that does not fit into the queue is persisted with the next snapshot, and so
 * are all later ones, so that no sequence is missing from a file.
 *
 * <p>{@link #append} and {@link #writeSnapshot} may be called on only one thread, the event loop;
 * the other methods may be called on any thread.
 */
public final class TableStore implements TableLog, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TableStore.class);
    private static final int MAX_QUEUED = 1 << 13;
    private static final int MAX_BATCH = 1 << 12;
    private static final long COMPACTION_BYTES = 4L << 20;
    private static final long POLL_MILLIS = 100;
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CLOSE_MILLIS = 2000;

    /** A command for the store's thread. */
    private sealed interface Command {}

    /** Writes an entry. */
    private record WriteEntry(long sequence, LogEntry entry) implements Command {}

    /** Begins a new file with a snapshot that holds all entries up to a sequence. */
    private record BeginFile(long sequence, StoreSnapshot snapshot) implements Command {}

    /** Wakes the store's thread, so that the thread notices that the store is being closed. */
    private record Wake() implements Command {}

    private final Path path;
    private final LogOutput.Factory outputs;
    private final LongSupplier wallMillis;
    private final Runnable onProgress;
    private final long compactionBytes;
    private final LinkedBlockingQueue<Command> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
    private final Thread thread = new Thread(this::run, "table-store");

    /**
     * Monitor of the threads in {@link #await}; notified after entries became durable and after a
     * fault.
     */
    private final Object progress = new Object();

    private StoreFolder folder;
    private LogFileWriter writer;

    /** Sequence of the last entry appended; used by the appending thread. */
    private long appended;

    /**
     * Whether an entry did not fit into the queue since the last snapshot; used by the appending
     * thread.
     */
    private boolean overflowed;

    /** Sequence of the last entry written; used by the store's thread. */
    private long written;

    /**
     * Whether no more entries may be appended to the current file, as a write failed; used by the
     * store's thread.
     */
    private boolean broken;

    /**
     * Time of the next request for a snapshot during a fault, by {@link System#nanoTime}; used by
     * the store's thread.
     */
    private long retryAtNanos;

    private volatile long durable;
    private volatile boolean needsSnapshot;
    private volatile String fault = "";
    private volatile boolean closing;

    /**
     * Creates a store that is not opened yet.
     *
     * @param wallMillis the wall clock, for the new names of damaged files
     * @param onProgress called on the store's thread after {@link #durable} has risen or a fault
     *     began
     */
    public TableStore(
            Path folder, LogOutput.Factory outputs, LongSupplier wallMillis, Runnable onProgress) {
        this(folder, outputs, wallMillis, onProgress, COMPACTION_BYTES);
    }

    /**
     * Creates a store with another limit on the size of a file.
     *
     * @param compactionBytes the size in bytes above which a file is replaced by a shorter one
     */
    TableStore(
            Path folder,
            LogOutput.Factory outputs,
            LongSupplier wallMillis,
            Runnable onProgress,
            long compactionBytes) {
        this.compactionBytes = compactionBytes;
        this.path = folder;
        this.outputs = outputs;
        this.wallMillis = wallMillis;
        this.onProgress = onProgress;
        thread.setDaemon(true);
    }

    /**
     * Restores the stored state and begins a new file. A damaged file is set aside and nothing is
     * restored from it; the log names file and offset.
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
            // The last file was complete when it was renamed, so earlier ones are obsolete.
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
            fail("cannot begin a new file", e);
        }
        thread.start();
        return restored;
    }

    private StoreSnapshot restore(Path file) throws IOException {
        try {
            TableFileReader.Content content = TableFileReader.read(file);
            if (content.discardedBytes() > 0) {
                LOG.warn(
                        "{}: discarded the incomplete last {} bytes, from byte {} on",
                        file,
                        content.discardedBytes(),
                        content.discardedFrom());
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
                    "{}; set aside as {}; tables start from the node list, "
                            + "version numbers continue from those that proxies hold",
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
     * Waits until a sequence is durable or there is a fault. An interrupt ends the wait, and the
     * thread's interrupt status stays set.
     *
     * @param timeoutNanos the time limit for the wait
     * @return whether the sequence is durable
     */
    public boolean await(long sequence, long timeoutNanos) {
        long deadlineNanos = System.nanoTime() + timeoutNanos;
        synchronized (progress) {
            while (durable < sequence && fault.isEmpty() && deadlineNanos - System.nanoTime() > 0) {
                try {
                    TimeUnit.NANOSECONDS.timedWait(progress, deadlineNanos - System.nanoTime());
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

    /** Runs the store's thread. */
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
                fail("cannot write entries", e);
            } catch (InterruptedException e) {
                // An interrupt of the store's own thread ends it once the queue is empty.
                closing = true;
            }
            batch.clear();
            requestSnapshotDuringFault();
        }
    }

    /** Requests a snapshot once a second during a fault. */
    private void requestSnapshotDuringFault() {
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
                clearFault();
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
        if (writer.needsCompaction(compactionBytes)) {
            needsSnapshot = true;
        }
    }

    private void begin(StoreSnapshot snapshot, long sequence) throws IOException {
        writer.begin(snapshot, sequence);
        written = sequence;
    }

    private void clearFault() {
        if (!fault.isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("file", writer.file().toString())
                    .log("tables are persisted again");
        }
        fault = "";
        broken = false;
    }

    private void fail(String failure, Exception e) {
        if (fault.isEmpty()) {
            LOG.atError().addKeyValue("reason", failure + ": " + e).log("tables are not persisted");
        }
        broken = true;
        fault = failure + ": " + (e.getMessage() == null ? e.toString() : e.getMessage());
        retryAtNanos = System.nanoTime() + RETRY_NANOS;
        signalProgress();
    }

    private void signalProgress() {
        synchronized (progress) {
            progress.notifyAll();
        }
        onProgress.run();
    }

    /** Writes all queued entries, for at most two seconds, and releases the folder. */
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
