package rosespread.store;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.store.StoreFixture.assertSameSnapshot;

import java.io.IOException;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Behavior of a store when the disk is full or stalls. */
class DiskFaultTest extends StoreTestSupport {
    @Test
    void reportsFullDiskAndRecoversWithSnapshot() throws IOException {
        FullDisk disk = new FullDisk(5000);
        fixture.open(disk, 1 << 20);
        TableStore store = fixture.store();
        AppendedHistory history = new AppendedHistory(new Random(4));
        fixture.append(history, 100);
        await().until(() -> store.fault().contains("No space left on device"));
        assertTrue(store.durable() < fixture.lastSequence());
        fixture.append(history, 20);
        disk.setFreeBytes(10 << 20);
        await().until(store::needsSnapshot);
        fixture.append(history, 5);
        store.writeSnapshot(history.snapshot());
        fixture.append(history, 5);
        fixture.awaitDurable();
        assertEquals("", store.fault());
        fixture.close();
        assertSameSnapshot(history.snapshot(), fixture.open());
    }

    /** Durable entries are restored, and the incomplete end of the file is discarded. */
    @Test
    void restoresDurableEntriesAfterCloseWithFullDisk() throws IOException {
        fixture.open(new FullDisk(5000), 1 << 20);
        TableStore store = fixture.store();
        fixture.append(new AppendedHistory(new Random(4)), 100);
        await().until(() -> !store.fault().isEmpty());
        long durable = store.durable();
        fixture.close();
        TableFileReader.Content content = TableFileReader.read(fixture.file());
        assertTrue(content.sequence() >= durable, content.sequence() + " of " + durable);
        fixture.open();
        assertEquals("", fixture.store().fault());
    }

    /** Appending never blocks, even while the queue is full. */
    @Test
    void reportsStalledDiskOnceQueueIsFull() throws IOException {
        StallingDisk disk = new StallingDisk();
        fixture.open(disk, 64 << 20);
        disk.stall();
        TableStore store = fixture.store();
        AppendedHistory history = new AppendedHistory(new Random(7));
        while (store.fault().isEmpty()) {
            fixture.append(history, 1000);
        }
        assertTrue(store.fault().contains("behind"), store::fault);
        disk.resume();
        await().until(() -> isRecovered(store, history));
        fixture.append(history, 3);
        fixture.awaitDurable();
        fixture.close();
        assertSameSnapshot(history.snapshot(), fixture.open());
    }

    private static boolean isRecovered(TableStore store, AppendedHistory history) {
        if (store.needsSnapshot()) {
            store.writeSnapshot(history.snapshot());
        }
        return store.fault().isEmpty();
    }
}
