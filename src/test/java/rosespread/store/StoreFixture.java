package rosespread.store;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;

/** A store in a folder that can be closed and reopened, with a clock that rises on each reading. */
final class StoreFixture implements AutoCloseable {
    private static final long COMPACTION_BYTES = 1 << 20;

    final Path folder;
    private TableStore store;
    private long wallMillis = 1_700_000_000_000L;
    private long lastSequence;

    StoreFixture(Path folder) {
        this.folder = folder;
    }

    TableStore store() {
        return store;
    }

    StoreSnapshot open() throws IOException {
        return open(LogOutput.DISK, COMPACTION_BYTES);
    }

    StoreSnapshot open(LogOutput.Factory outputs, long compactionBytes) throws IOException {
        store = new TableStore(folder, outputs, () -> wallMillis++, () -> {}, compactionBytes);
        return store.open();
    }

    void append(AppendedHistory history, int entries) throws StoreException {
        for (int i = 0; i < entries; i++) {
            lastSequence = store.append(history.next(wallMillis++));
        }
    }

    /** Returns the sequence of the last entry appended. */
    long lastSequence() {
        return lastSequence;
    }

    void awaitDurable() {
        await().until(() -> store.durable() >= lastSequence);
    }

    /** Returns the only table file. */
    Path file() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(p -> p.toString().endsWith(".log")).findFirst().orElseThrow();
        }
    }

    List<String> fileNames() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return all.map(p -> p.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public void close() throws IOException {
        if (store != null) {
            store.close();
        }
    }

    static void assertSameSnapshot(StoreSnapshot expected, StoreSnapshot actual) {
        assertEquals(text(expected), text(actual));
    }

    /** Returns all state as text, with the digest of each version in place of its entries. */
    private static String text(StoreSnapshot snapshot) {
        StringBuilder text = new StringBuilder();
        text.append(snapshot.layout()).append(snapshot.drains());
        for (TableSnapshot table : snapshot.tables()) {
            text.append("\n")
                    .append(table.pinState())
                    .append(table.rollbackTarget())
                    .append(table.retained())
                    .append(table.pending());
            for (TableVersion version : table.versions()) {
                text.append("\n  ")
                        .append(version.table())
                        .append(version.number())
                        .append(version.cause())
                        .append(version.atMillis())
                        .append(' ')
                        .append(version.parent())
                        .append(' ')
                        .append(version.digest());
            }
        }
        return text.toString();
    }
}
