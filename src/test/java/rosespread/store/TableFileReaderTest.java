package rosespread.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.store.StoreFixture.assertSameSnapshot;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Files that a store wrote, cut short or damaged since. */
class TableFileReaderTest extends StoreTestSupport {
    /** Lines of the snapshot in the first file of a folder. */
    private static final int SNAPSHOT_LINES = 2;

    @Test
    void cutsATornTailAtAnyByte() throws IOException {
        fixture.open();
        AppendedHistory history = new AppendedHistory(new Random(1));
        List<StoreSnapshot> after = new ArrayList<>(List.of(history.snapshot()));
        for (int i = 0; i < 6; i++) {
            fixture.append(history, 1);
            after.add(history.snapshot());
        }
        fixture.awaitDurable();
        fixture.close();
        Path file = fixture.file();
        byte[] whole = Files.readAllBytes(file);
        List<Integer> ends = lineEnds(whole);
        for (int length = ends.get(SNAPSHOT_LINES - 1); length <= whole.length; length += 7) {
            int wholeLines = linesWithin(ends, length);
            int wholeEntries = wholeLines - SNAPSHOT_LINES;
            Files.write(file, Arrays.copyOf(whole, length));
            TableFileReader.Content content = TableFileReader.read(file);
            assertSameSnapshot(after.get(wholeEntries), content.snapshot());
            assertEquals(length - ends.get(wholeLines - 1), content.cutBytes());
            Files.write(file, withZeros(Arrays.copyOf(whole, length)));
            assertEquals(
                    wholeEntries,
                    TableFileReader.read(file).entries(),
                    "zeros that a crash left are cut too");
        }
    }

    private static List<Integer> lineEnds(byte[] bytes) {
        List<Integer> ends = new ArrayList<>();
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                ends.add(i + 1);
            }
        }
        return ends;
    }

    private static int linesWithin(List<Integer> ends, int length) {
        return (int) ends.stream().filter(end -> end <= length).count();
    }

    private static byte[] withZeros(byte[] bytes) {
        return Arrays.copyOf(bytes, bytes.length + 300);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.0, 0.1, 0.3, 0.5, 0.7, 0.85})
    void damageBeforeAWholeLineIsRefusedAndSetAside(double share) throws IOException {
        fixture.open();
        fixture.append(new AppendedHistory(new Random(2)), 40);
        fixture.awaitDurable();
        fixture.close();
        Path file = fixture.file();
        byte[] bytes = Files.readAllBytes(file);
        int damagedAt = (int) (share * bytes.length);
        bytes[damagedAt] ^= 0x10;
        Files.write(file, bytes);
        StoreException refused =
                assertThrows(StoreException.class, () -> TableFileReader.read(file));
        String place = file + ": damaged at byte " + lineStart(bytes, damagedAt) + " of ";
        assertTrue(refused.getMessage().startsWith(place), refused::getMessage);
        assertSameSnapshot(StoreSnapshot.EMPTY, fixture.open());
        List<String> names = fixture.fileNames();
        assertTrue(names.stream().anyMatch(name -> name.contains("damaged")), names::toString);
        assertEquals("", fixture.store().fault());
    }

    private static int lineStart(byte[] bytes, int at) {
        int start = at;
        while (start > 0 && bytes[start - 1] != '\n') {
            start--;
        }
        return start;
    }

    @Test
    void aSnapshotThatIsNotWholeIsDamage() throws IOException {
        fixture.open();
        fixture.append(new AppendedHistory(new Random(2)), 40);
        fixture.close();
        fixture.open();
        fixture.close();
        Path file = fixture.file();
        byte[] bytes = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(bytes, bytes.length / 2));
        assertThrows(StoreException.class, () -> TableFileReader.read(file));
    }
}
