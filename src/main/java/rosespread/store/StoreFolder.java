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
 * The folder of a table store: its lock against use by other processes, and its files, {@code
 * tables-N.log}, of which the one with the highest number is valid. Holds the lock until closed.
 */
final class StoreFolder implements Closeable {
    private static final Pattern FILE_NAME = Pattern.compile("tables-([0-9]{1,18})\\.log");
    private static final String TEMPORARY_SUFFIX = ".next";

    private final Path folder;
    private final FileChannel lockFile;
    private final FileLock lock;

    private StoreFolder(Path folder, FileChannel lockFile, FileLock lock) {
        this.folder = folder;
        this.lockFile = lockFile;
        this.lock = lock;
    }

    /**
     * Creates the folder if it does not exist, and locks it.
     *
     * @throws IOException if the folder cannot be created or locked, or another store holds the
     *     lock
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
                    folder + " is in use by another controller; give each its own --state");
        }
        return new StoreFolder(folder, lockFile, lock);
    }

    /** Returns null if this or another process holds the lock. */
    private static FileLock tryLock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }

    /** Returns all complete files by ascending number, and deletes temporary files. */
    List<Path> files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            List<Path> found = new ArrayList<>(all.toList());
            for (Path path : found) {
                if (path.getFileName().toString().endsWith(".log" + TEMPORARY_SUFFIX)) {
                    Files.delete(path);
                }
            }
            found.removeIf(path -> !FILE_NAME.matcher(path.getFileName().toString()).matches());
            found.sort(Comparator.comparingLong(StoreFolder::number));
            return found;
        }
    }

    /** Returns the number in a file's name, 0 if there is none. */
    static long number(Path file) {
        Matcher name = FILE_NAME.matcher(file.getFileName().toString());
        return name.matches() ? Long.parseLong(name.group(1)) : 0;
    }

    /** Returns the path of the file with a number. */
    Path file(long number) {
        return folder.resolve(String.format("tables-%06d.log", number));
    }

    /** Returns the path under which the file with a number is written until it is complete. */
    Path temporaryFile(long number) {
        Path file = file(number);
        return file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
    }

    /** Forces the file names to the disk; they survive a machine crash once this returns. */
    void force() throws IOException {
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    /** Releases the lock. */
    @Override
    public void close() throws IOException {
        lock.release();
        lockFile.close();
    }
}
