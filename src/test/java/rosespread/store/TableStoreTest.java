package rosespread.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.store.StoreFixture.assertSameSnapshot;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** State that a store restores after it was closed or crashed, on a disk without faults. */
class TableStoreTest extends StoreTestSupport {
    private static final int FILE_AND_LOCK = 2;

    @Property(tries = 60, seed = "1")
    void restoresAppendedEntriesAcrossRestarts(@ForAll long seed) throws IOException {
        StoreFixture restarted = new StoreFixture(Files.createTempDirectory("rosespread-store"));
        AppendedHistory history = new AppendedHistory(new Random(seed));
        for (int start = 0; start < 3; start++) {
            long compactionBytes = history.random().nextBoolean() ? 2000 : 1 << 20;
            assertSameSnapshot(history.snapshot(), restarted.open(LogOutput.DISK, compactionBytes));
            restarted.append(history, history.random().nextInt(60));
            if (restarted.store().needsSnapshot()) {
                restarted.store().writeSnapshot(history.snapshot());
                restarted.append(history, history.random().nextInt(10));
            }
            restarted.close();
        }
        assertSameSnapshot(history.snapshot(), restarted.open());
        restarted.close();
        assertEquals(FILE_AND_LOCK, restarted.fileNames().size(), restarted.fileNames()::toString);
        for (String name : restarted.fileNames()) {
            Files.delete(restarted.folder.resolve(name));
        }
        Files.delete(restarted.folder);
    }

    @Test
    void replacesGrownFileByShorterOne() throws IOException {
        fixture.open(LogOutput.DISK, 20_000);
        AppendedHistory history = new AppendedHistory(new Random(5));
        for (int batch = 0; batch < 20; batch++) {
            for (int i = 0; i < 100; i++) {
                fixture.append(history, 1);
                if (fixture.store().needsSnapshot()) {
                    fixture.store().writeSnapshot(history.snapshot());
                }
            }
            // Otherwise all entries might be queued before a slow disk lets the file grow.
            fixture.awaitDurable();
        }
        assertEquals(FILE_AND_LOCK, fixture.fileNames().size(), fixture.fileNames()::toString);
        assertFalse(
                fixture.fileNames().contains("tables-000001.log"), fixture.fileNames()::toString);
        fixture.close();
        assertSameSnapshot(history.snapshot(), fixture.open());
    }

    /** A crash while a new file is begun leaves either of these files. */
    @Test
    void deletesTemporaryAndObsoleteFilesAtStart() throws IOException {
        fixture.open();
        AppendedHistory history = new AppendedHistory(new Random(6));
        fixture.append(history, 30);
        fixture.awaitDurable();
        fixture.close();
        Path current = fixture.file();
        Files.write(fixture.folder.resolve("tables-000009.log.next"), new byte[] {1, 2, 3});
        Files.copy(current, fixture.folder.resolve("tables-000000.log"));
        assertSameSnapshot(history.snapshot(), fixture.open());
        assertEquals(FILE_AND_LOCK, fixture.fileNames().size(), fixture.fileNames()::toString);
    }

    @Test
    void rejectsFolderInUseUntilItIsReleased() throws IOException {
        fixture.open();
        try (StoreFixture other = new StoreFixture(fixture.folder)) {
            IOException rejection = assertThrows(IOException.class, other::open);
            assertTrue(
                    rejection.getMessage().contains("in use by another controller"),
                    rejection::getMessage);
        }
        fixture.close();
        fixture.open();
    }
}
