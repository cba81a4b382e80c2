package rosespread.store;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.drain.Drain;
import rosespread.table.PinState;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;

/**
 * What a store gives back after it ended in any way, and what it does when the disk does not do its
 * part.
 */
class TableStoreTest {
    private static final int TABLES = 3;

    @TempDir private Path folder;
    private TableStore store;
    private long wall = 1_700_000_000_000L;

    /** What was appended, as a conductor would know it. */
    private static final class Past {
        final TreeMap<TableId, VersionHistory> histories = new TreeMap<>();
        final LogReplay model = new LogReplay(StoreSnapshot.EMPTY);
        long last;
        long stamp;

        LogEntry next(Random random, long wall) {
            TableId id = new TableId(1 + random.nextInt(TABLES));
            VersionHistory history = histories.computeIfAbsent(id, t -> new VersionHistory(t, 0));
            int what = random.nextInt(12);
            if (what == 0 && !history.isEmpty()) {
                long to = random.nextBoolean() ? 0 : history.versions().get(0).number();
                return new LogEntry.PinChanged(
                        id,
                        to > 0 ? PinState.PINNED : PinState.RELEASING,
                        to,
                        to > 0 ? Map.of(new NodeId(3), 0.25, new NodeId(-1), 0.0) : Map.of());
            }
            if (what == 2) {
                stamp++;
                return new LogEntry.DrainChanged(
                        new Drain(
                                new NodeId(random.nextInt(4)),
                                "n",
                                random.nextBoolean(),
                                stamp,
                                "o",
                                "call-" + stamp,
                                wall));
            }
            if (what == 1 && !history.isEmpty()) {
                return new LogEntry.VersionCommitted(
                        history.renumber(history.current().number() + 1024, wall));
            }
            TableVersion before = history.current();
            TableVersion next = before;
            while (next == before) {
                next =
                        history.commit(
                                Map.of(
                                        new NodeId(~(long) random.nextInt(40) << 40),
                                        random.nextDouble(),
                                        new NodeId(random.nextInt(5)),
                                        random.nextInt(3) / 2.0),
                                TableVersion.Cause.MODULE,
                                wall);
            }
            return new LogEntry.VersionCommitted(next);
        }
    }

    /** Without the lines of each version, which its digest stands for. */
    private static String told(StoreSnapshot image) {
        StringBuilder text = new StringBuilder().append(image.layout()).append(image.drains());
        image.tables()
                .forEach(
                        t -> {
                            text.append("\n")
                                    .append(t.pinState())
                                    .append(t.rollbackTarget())
                                    .append(t.retained())
                                    .append(t.pending());
                            t.versions()
                                    .forEach(
                                            v ->
                                                    text.append("\n  ")
                                                            .append(v.table())
                                                            .append(v.number())
                                                            .append(v.cause())
                                                            .append(v.atMillis())
                                                            .append(' ')
                                                            .append(v.parent())
                                                            .append(' ')
                                                            .append(v.digest()));
                        });
        return text.toString();
    }

    private static void same(StoreSnapshot expected, StoreSnapshot is) {
        assertEquals(told(expected), told(is));
    }

    private StoreSnapshot open(LogOutput.Factory disk, long grown) throws IOException {
        store = new TableStore(folder, disk, () -> wall++, () -> {}, grown);
        return store.open();
    }

    private StoreSnapshot open() throws IOException {
        return open(LogOutput.DISK, 1 << 20);
    }

    private void append(Past past, Random random, int count) throws StoreException {
        for (int i = 0; i < count; i++) {
            LogEntry entry = past.next(random, wall++);
            past.last = store.append(entry);
            past.model.apply(entry);
        }
    }

    private void kept(Past past) {
        await().until(() -> store.durable() >= past.last);
    }

    private Path file() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(p -> p.toString().endsWith(".log")).findFirst().orElseThrow();
        }
    }

    private List<String> names() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(p -> p.getFileName().toString()).sorted().toList();
        }
    }

    @AfterEach
    void close() throws IOException {
        store.close();
    }

    @Property(tries = 60, seed = "1")
    void givesBackWhatWasAppended(@ForAll long seed) throws IOException {
        folder = Files.createTempDirectory("rosespread-store");
        Random random = new Random(seed);
        Past past = new Past();
        for (int life = 0; life < 3; life++) {
            same(past.model.snapshot(), open(LogOutput.DISK, random.nextBoolean() ? 2000 : 1 << 20));
            append(past, random, random.nextInt(60));
            if (store.wantsSnapshot()) {
                store.writeSnapshot(past.model.snapshot());
                append(past, random, random.nextInt(10));
            }
            store.close();
        }
        same(past.model.snapshot(), open());
        store.close();
        assertEquals(2, names().size(), "a file and the lock: " + names());
        for (String name : names()) {
            Files.delete(folder.resolve(name));
        }
        Files.delete(folder);
    }

    @Test
    void cutsATornTailAtWhateverByte() throws IOException {
        open();
        Past past = new Past();
        append(past, new Random(1), 6);
        kept(past);
        store.close();
        byte[] whole = Files.readAllBytes(file());
        List<StoreSnapshot> models = new ArrayList<>();
        List<Integer> ends = new ArrayList<>();
        for (int i = 0; i < whole.length; i++) {
            if (whole[i] == '\n') {
                ends.add(i + 1);
            }
        }
        LogReplay model = new LogReplay(StoreSnapshot.EMPTY);
        models.add(model.snapshot());
        Past again = new Past();
        Random same = new Random(1);
        wall = 1_700_000_000_000L;
        for (int i = 0; i < 6; i++) {
            model.apply(again.next(same, wall++));
            models.add(model.snapshot());
        }
        Path file = file();
        int imageEnds = ends.get(1);
        for (int length = imageEnds; length <= whole.length; length += 7) {
            Files.write(file, Arrays.copyOf(whole, length));
            int wholeLines = 0;
            for (int end : ends) {
                wholeLines += end <= length && end > imageEnds ? 1 : 0;
            }
            TableFileReader.Content content = TableFileReader.read(file);
            same(models.get(wholeLines), content.image());
            assertEquals(length - ends.get(1 + wholeLines), content.cut());
            byte[] rubbish = Arrays.copyOf(Arrays.copyOf(whole, length), length + 300);
            Files.write(file, rubbish);
            assertEquals(
                    wholeLines,
                    TableFileReader.read(file).entries(),
                    "zeros that a crash left are cut too");
        }
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.1, 0.3, 0.5, 0.7, 0.85})
    void refusesDamageInTheMiddleAndBeginsAnew(double where) throws IOException {
        open();
        Past past = new Past();
        append(past, new Random(2), 40);
        kept(past);
        store.close();
        Path file = file();
        byte[] bytes = Files.readAllBytes(file);
        int at = (int) (where * bytes.length);
        bytes[at] ^= 0x10;
        Files.write(file, bytes);
        int lineAt = at;
        while (lineAt > 0 && bytes[lineAt - 1] != '\n') {
            lineAt--;
        }
        StoreException told = assertThrows(StoreException.class, () -> TableFileReader.read(file));
        assertTrue(
                told.getMessage().startsWith(file + ": damaged at byte " + lineAt + " of "),
                told.getMessage());
        same(StoreSnapshot.EMPTY, open());
        assertTrue(names().stream().anyMatch(name -> name.contains("damaged")), names().toString());
        append(past, new Random(3), 0);
        assertEquals("", store.fault());
    }

    @Test
    void anImageThatIsNotWholeIsDamage() throws IOException {
        open();
        Past past = new Past();
        append(past, new Random(2), 40);
        store.close();
        open();
        store.close();
        byte[] bytes = Files.readAllBytes(file());
        Files.write(file(), Arrays.copyOf(bytes, bytes.length / 2));
        assertThrows(StoreException.class, () -> TableFileReader.read(file()));
    }

    /** A disk that takes so many bytes more, and breaks in the middle of a write. */
    private static LogOutput.Factory filling(AtomicLong room) {
        return path -> {
            LogOutput to = LogOutput.DISK.create(path);
            return new LogOutput() {
                @Override
                public void write(ByteBuffer bytes) throws IOException {
                    int fits = (int) Math.min(bytes.remaining(), Math.max(0, room.get()));
                    room.addAndGet(-fits);
                    boolean all = fits == bytes.remaining();
                    to.write(bytes.slice().limit(fits));
                    if (!all) {
                        throw new IOException("No space left on device");
                    }
                }

                @Override
                public void force() throws IOException {
                    to.force();
                }

                @Override
                public void close() throws IOException {
                    to.close();
                }
            };
        };
    }

    @Test
    void aFullDiskIsToldAndMadeUpFor() throws IOException {
        AtomicLong room = new AtomicLong(5000);
        open(filling(room), 1 << 20);
        Past past = new Past();
        Random random = new Random(4);
        append(past, random, 100);
        await().until(() -> store.fault().contains("No space left on device"));
        assertTrue(store.durable() < past.last);
        append(past, random, 20);
        room.set(10 << 20);
        await().until(store::wantsSnapshot);
        append(past, random, 5);
        store.writeSnapshot(past.model.snapshot());
        append(past, random, 5);
        kept(past);
        assertEquals("", store.fault());
        store.close();
        same(past.model.snapshot(), open());
    }

    /** Killed while the disk is full: what was kept before comes back, the torn end is cut. */
    @Test
    void endsWhileTheDiskIsFull() throws IOException {
        AtomicLong room = new AtomicLong(5000);
        open(filling(room), 1 << 20);
        Past past = new Past();
        append(past, new Random(4), 100);
        await().until(() -> !store.fault().isEmpty());
        long kept = store.durable();
        store.close();
        TableFileReader.Content content = TableFileReader.read(file());
        assertTrue(content.sequence() >= kept, content.sequence() + " of " + kept);
        open();
        assertEquals("", store.fault());
    }

    @Test
    void aShorterFileFollowsOneThatHasGrown() throws IOException {
        open(LogOutput.DISK, 20_000);
        Past past = new Past();
        Random random = new Random(5);
        for (int i = 0; i < 2000; i++) {
            append(past, random, 1);
            if (store.wantsSnapshot()) {
                store.writeSnapshot(past.model.snapshot());
            }
        }
        kept(past);
        assertEquals(2, names().size(), names().toString());
        assertTrue(!names().contains("tables-000001.log"), names().toString());
        store.close();
        same(past.model.snapshot(), open());
    }

    /** The two moments between which a file is followed by another. */
    @Test
    void endsWhileAFileIsFollowedByAnother() throws IOException {
        open();
        Past past = new Past();
        append(past, new Random(6), 30);
        kept(past);
        store.close();
        Path now = file();
        Files.write(folder.resolve("tables-000009.log.next"), new byte[] {1, 2, 3});
        Files.copy(now, folder.resolve("tables-000000.log"));
        same(past.model.snapshot(), open());
        assertEquals(2, names().size(), names().toString());
    }

    @Test
    void aFolderHasOneUser() throws IOException {
        open();
        TableStore other = new TableStore(folder, LogOutput.DISK, () -> wall, () -> {});
        IOException told = assertThrows(IOException.class, other::open);
        assertTrue(told.getMessage().contains("in use by another conductor"), told.getMessage());
        store.close();
        open();
    }

    /** A disk that stands still holds up nobody who appends, however much. */
    @Test
    void aDiskThatStandsStillIsToldOnceTooMuchWaits() throws IOException {
        CountDownLatch goesOn = new CountDownLatch(1);
        boolean[] stands = {false};
        open(
                path -> {
                    LogOutput to = LogOutput.DISK.create(path);
                    return new LogOutput() {
                        @Override
                        public void write(ByteBuffer bytes) throws IOException {
                            to.write(bytes);
                        }

                        @Override
                        public void force() throws IOException {
                            if (stands[0]) {
                                try {
                                    goesOn.await();
                                } catch (InterruptedException e) {
                                    throw new IOException(e);
                                }
                            }
                            to.force();
                        }

                        @Override
                        public void close() throws IOException {
                            to.close();
                        }
                    };
                },
                64 << 20);
        stands[0] = true;
        Past past = new Past();
        Random random = new Random(7);
        while (store.fault().isEmpty()) {
            append(past, random, 1000);
        }
        assertTrue(store.fault().contains("behind"), store.fault());
        goesOn.countDown();
        await().until(
                        () -> {
                            if (store.wantsSnapshot()) {
                                store.writeSnapshot(past.model.snapshot());
                            }
                            return store.fault().isEmpty();
                        });
        append(past, random, 3);
        kept(past);
        store.close();
        same(past.model.snapshot(), open());
    }
}
