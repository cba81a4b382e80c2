package rosespread.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The folder of a table store: the lock that keeps other processes out, and the names of its files,
 * {@code tables-N.log}, of which the highest number holds. Holds the lock until it is closed.
 */
final class StoreFolder implements Closeable {
    private static final Pattern FILE_NAME = Pattern.compile("tables-([0-9]{1,18})\\.log");
    private static final String UNFINISHED = ".next";

    private final Path folder;
    private final FileChannel lockFile;
    private final FileLock lock;

    private StoreFolder(Path folder, FileChannel lockFile, FileLock lock) {
        this.folder = folder;
        this.lockFile = lockFile;
        this.lock = lock;
    }

    /**
     * Creates the folder if need be and locks it.
     *
     * @throws IOException if that cannot be done or another store holds the lock
     */
    static StoreFolder open(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel lockFile =
                FileChannel.open(
                        folder.resolve("lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        FileLock lock = tryLock(lockFile);
        if (lock == null) {
            lockFile.close();
            throw new IOException(
                    folder + " is in use by another conductor; give each its own --state");
        }
        return new StoreFolder(folder, lockFile, lock);
    }

    /** Null if this or another process holds the lock. */
    private static FileLock tryLock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    /** All finished files, the lowest number first; files that were never finished are deleted. */
    List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            List<Path> found = new ArrayList<>(all.toList());
            for (Path path : found) {
                if (path.getFileName().toString().endsWith(".log" + UNFINISHED)) {
                    Files.delete(path);
                }
            }
            found.removeIf(path -> !FILE_NAME.matcher(path.getFileName().toString()).matches());
            found.sort(Comparator.comparingLong(StoreFolder::number));
            return found;
        }
    }

    /** The number in a file's name, 0 if it has none. */
    static long number(Path file) {
        Matcher name = FILE_NAME.matcher(file.getFileName().toString());
        return name.matches() ? Long.parseLong(name.group(1)) : 0;
    }

    /** The file of a number. */
    Path file(long number) {
        return folder.resolve(String.format("tables-%06d.log", number));
    }

    /** Where the file of a number is written until it is finished. */
    Path unfinished(long number) {
        Path file = file(number);
        return file.resolveSibling(file.getFileName() + UNFINISHED);
    }

    /** Returns once the names of files would outlive the machine. */
    void force() throws IOException {
        try (FileChannel open = FileChannel.open(folder, StandardOpenOption.READ)) {
            open.force(true);
        }
    }

    /** Releases the lock. */
    @Override
    public void close() throws IOException {
        lock.release();
        lockFile.close();
    }
}
