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

/** What a store restores after it ended in any way, on a disk that does its part. */
class TableStoreTest extends StoreTestSupport {
    private static final int FILE_AND_LOCK = 2;

    @Property(tries = 60, seed = "1")
    void restoresWhatWasAppendedOverRestarts(@ForAll long seed) throws IOException {
        StoreFixture restarted = new StoreFixture(Files.createTempDirectory("rosespread-store"));
        AppendedHistory history = new AppendedHistory(new Random(seed));
        for (int start = 0; start < 3; start++) {
            long grownBytes = history.random().nextBoolean() ? 2000 : 1 << 20;
            assertSameSnapshot(history.snapshot(), restarted.open(LogOutput.DISK, grownBytes));
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
    void aFileThatHasGrownIsFollowedByAShorterOne() throws IOException {
        fixture.open(LogOutput.DISK, 20_000);
        AppendedHistory history = new AppendedHistory(new Random(5));
        for (int batch = 0; batch < 20; batch++) {
            for (int i = 0; i < 100; i++) {
                fixture.append(history, 1);
                if (fixture.store().needsSnapshot()) {
                    fixture.store().writeSnapshot(history.snapshot());
                }
            }
            // Else all could be appended before a slow disk lets the store see the growth.
            fixture.awaitDurable();
        }
        assertEquals(FILE_AND_LOCK, fixture.fileNames().size(), fixture.fileNames()::toString);
        assertFalse(
                fixture.fileNames().contains("tables-000001.log"), fixture.fileNames()::toString);
        fixture.close();
        assertSameSnapshot(history.snapshot(), fixture.open());
    }

    /** The two moments at which a store can end between one file and the next. */
    @Test
    void anUnfinishedAndAnOutdatedFileAreDeletedAtAStart() throws IOException {
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
    void aFolderInUseCannotBeOpenedUntilItIsReleased() throws IOException {
        fixture.open();
        try (StoreFixture other = new StoreFixture(fixture.folder)) {
            IOException refused = assertThrows(IOException.class, other::open);
            assertTrue(
                    refused.getMessage().contains("in use by another conductor"),
                    refused::getMessage);
        }
        fixture.close();
        fixture.open();
    }
}
