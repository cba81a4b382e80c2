package rosespread.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.drain.Drain;
import rosespread.table.TableSnapshot;

/**
 * Keeps versions and acts in one append-only file: an image of all tables, then entries. A thread
 * of its own writes what has gathered and forces it to the disk at once, so that one force pays for
 * all that waits. A file that has grown is followed by a shorter one with a higher number, moved
 * into place whole.
 *
 * <p>After a fault nothing is appended to that file any more: a new one is begun with an image,
 * once a second until it succeeds. Meanwhile {@link #trouble} says what is wrong.
 */
public final class TableStore implements TableLog, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(TableStore.class);
    private static final Pattern NAME = Pattern.compile("tables-([0-9]{1,18})\\.log");
    private static final int WAITING_MOST = 1 << 13;
    private static final int BATCH = 1 << 12;
    private static final long GROWN = 4L << 20;
    private static final long RETRY_MILLIS = 1000;
    private static final long CLOSE_MILLIS = 2000;

    private record Item(long sequence, LogEntry entry, StoreSnapshot image) {}

    private final Path folder;
    private final LogOutput.Factory disk;
    private final LongSupplier wallMillis;
    private final Runnable written;
    private final long grown;
    private final LinkedBlockingQueue<Item> queue = new LinkedBlockingQueue<>(WAITING_MOST);
    private final Thread thread = new Thread(this::run, "table-store");
    private final Object told = new Object();
    private FileChannel lockFile;
    private FileLock lock;
    private LogOutput sink;
    private long generation;
    private long imageBytes;
    private long retryAt;

    /** Of the thread that appends. */
    private long appended;

    private boolean dropped;

    /** Of the store's thread. */
    private long put;

    private boolean broken;
    private volatile long durable;
    private volatile long bytes;
    private volatile boolean wantsImage;
    private volatile String trouble = "";
    private volatile boolean closing;

    /**
     * @param written called on the store's thread after {@link #durable} has risen or trouble began
     */
    public TableStore(Path folder, LogOutput.Factory disk, LongSupplier wallMillis, Runnable written) {
        this(folder, disk, wallMillis, written, GROWN);
    }

    /**
     * @param grown bytes from which on a file is followed by a shorter one
     */
    TableStore(
            Path folder,
            LogOutput.Factory disk,
            LongSupplier wallMillis,
            Runnable written,
            long grown) {
        this.grown = grown;
        this.folder = folder;
        this.disk = disk;
        this.wallMillis = wallMillis;
        this.written = written;
        thread.setDaemon(true);
    }

    /**
     * Reads what was kept and begins to write. A damaged file is set aside and nothing is taken
     * from it; the log names file and offset.
     *
     * @throws IOException if the folder cannot be read or is another process's
     */
    public StoreSnapshot open() throws IOException {
        Files.createDirectories(folder);
        lock();
        StoreSnapshot image = StoreSnapshot.EMPTY;
        List<Path> files = files();
        for (int i = 0; i < files.size(); i++) {
            Path file = files.get(i);
            generation = Math.max(generation, number(file));
            if (i == files.size() - 1) {
                image = read(file);
            } else {
                // A file with a higher number was moved into place whole, so this one is done with.
                Files.delete(file);
            }
        }
        durable = appended;
        try {
            begin(image, appended);
        } catch (IOException e) {
            failed("cannot begin a file", e);
        }
        thread.start();
        return image;
    }

    private void lock() throws IOException {
        Path path = folder.resolve("lock");
        lockFile = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            lock = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            lockFile.close();
            throw new IOException(
                    folder + " is in use by another conductor; give each its own --state");
        }
    }

    private List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            List<Path> found = new ArrayList<>(all.toList());
            for (Path path : found) {
                if (path.getFileName().toString().endsWith(".log.next")) {
                    Files.delete(path);
                }
            }
            found.removeIf(path -> !NAME.matcher(path.getFileName().toString()).matches());
            found.sort(Comparator.comparingLong(TableStore::number));
            return found;
        }
    }

    private static long number(Path file) {
        Matcher name = NAME.matcher(file.getFileName().toString());
        return name.matches() ? Long.parseLong(name.group(1)) : 0;
    }

    private StoreSnapshot read(Path file) throws IOException {
        try {
            TableFileReader.Content content = TableFileReader.read(file);
            if (content.cut() > 0) {
                LOG.warn(
                        "{}: the last {} bytes, from byte {} on, were not whole and are cut",
                        file,
                        content.cut(),
                        content.from());
            }
            appended = content.sequence();
            LOG.atInfo()
                    .addKeyValue("tables", content.image().tables().size())
                    .addKeyValue("entries", content.entries())
                    .log("tables restored from " + file);
            return content.image();
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
        // What finds no room is in the next image, and so is all after it: the file has no gaps.
        if (!dropped && !queue.offer(new Item(appended, entry, null))) {
            dropped = true;
            trouble = "the disk is " + WAITING_MOST + " entries behind";
            wantsImage = true;
        }
        return appended;
    }

    @Override
    public long durable() {
        return durable;
    }

    /**
     * Waits so many nanoseconds for a sequence to be kept, as long as all is well; tells whether it
     * is.
     */
    public boolean await(long sequence, long nanos) {
        long until = System.nanoTime() + nanos;
        synchronized (told) {
            while (durable < sequence && trouble.isEmpty() && until - System.nanoTime() > 0) {
                try {
                    TimeUnit.NANOSECONDS.timedWait(told, until - System.nanoTime());
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    break;
                }
            }
        }
        return durable >= sequence;
    }

    private void tell() {
        synchronized (told) {
            told.notifyAll();
        }
        written.run();
    }

    @Override
    public boolean wantsSnapshot() {
        return wantsImage;
    }

    @Override
    public void writeSnapshot(StoreSnapshot image) {
        wantsImage = false;
        if (queue.offer(new Item(appended, null, image))) {
            dropped = false;
        } else {
            wantsImage = true;
        }
    }

    @Override
    public String fault() {
        return trouble;
    }

    @Override
    public long bytes() {
        return bytes;
    }

    // ---- the store's thread ----

    private void run() {
        List<Item> batch = new ArrayList<>();
        while (!closing || !queue.isEmpty()) {
            try {
                Item first = queue.poll(RETRY_MILLIS / 10, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    queue.drainTo(batch, BATCH);
                    write(batch);
                }
            } catch (IOException | RuntimeException e) {
                failed("cannot write", e);
            } catch (InterruptedException e) {
                closing = true;
            }
            batch.clear();
            if (!trouble.isEmpty() && System.nanoTime() - retryAt >= 0) {
                retryAt = System.nanoTime() + RETRY_MILLIS * 1_000_000;
                wantsImage = true;
                tell();
            }
        }
    }

    private void write(List<Item> batch) throws IOException {
        boolean any = false;
        for (Item item : batch) {
            if (item.image() != null) {
                begin(item.image(), item.sequence());
                if (!trouble.isEmpty()) {
                    LOG.info("tables are kept again, in {}", path(generation));
                }
                trouble = "";
                broken = false;
                durable = put;
                any = false;
            } else if (!broken && item.sequence() > put) {
                line(LogEntryWriter.entry(item.sequence(), item.entry()));
                put = item.sequence();
                any = true;
            }
        }
        if (any) {
            sink.force();
            durable = put;
        }
        tell();
        if (bytes > grown && bytes > 2 * imageBytes) {
            wantsImage = true;
        }
    }

    private void line(byte[] line) throws IOException {
        sink.write(ByteBuffer.wrap(line));
        bytes += line.length;
    }

    private Path path(long number) {
        return folder.resolve(String.format("tables-%06d.log", number));
    }

    /** A new file that begins with an image; the one before goes once this one is in place. */
    private void begin(StoreSnapshot image, long sequence) throws IOException {
        Path next = path(generation + 1);
        Path beside = next.resolveSibling(next.getFileName() + ".next");
        LogOutput fresh = disk.create(beside);
        long length = 0;
        try {
            List<byte[]> lines = new ArrayList<>();
            lines.add(LogEntryWriter.head(sequence, image.layout()));
            for (TableSnapshot table : image.tables()) {
                lines.add(LogEntryWriter.table(sequence, table));
            }
            for (Drain word : image.drains()) {
                lines.add(LogEntryWriter.drain(sequence, word));
            }
            lines.add(LogEntryWriter.snapshotEnd(sequence, image.tables().size()));
            for (byte[] line : lines) {
                fresh.write(ByteBuffer.wrap(line));
                length += line.length;
            }
            fresh.force();
            Files.move(beside, next, StandardCopyOption.ATOMIC_MOVE);
            forceFolder();
        } catch (IOException e) {
            fresh.close();
            Files.deleteIfExists(beside);
            throw e;
        }
        if (sink != null) {
            sink.close();
        }
        Files.deleteIfExists(path(generation));
        generation++;
        sink = fresh;
        put = sequence;
        bytes = length;
        imageBytes = length;
    }

    private void forceFolder() throws IOException {
        try (FileChannel open = FileChannel.open(folder, StandardOpenOption.READ)) {
            open.force(true);
        }
    }

    private void failed(String what, Exception e) {
        if (trouble.isEmpty()) {
            LOG.error("tables are not kept: {}: {}", what, e.toString());
        }
        broken = true;
        trouble = what + ": " + (e.getMessage() == null ? e.toString() : e.getMessage());
        retryAt = System.nanoTime() + RETRY_MILLIS * 1_000_000;
        tell();
    }

    /** Writes what waits, and lets go of the folder. */
    @Override
    public void close() throws IOException {
        if (closing) {
            return;
        }
        closing = true;
        queue.offer(new Item(-1, null, null));
        try {
            thread.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (sink != null) {
            sink.close();
        }
        if (lock != null) {
            lock.release();
            lockFile.close();
        }
    }
}
