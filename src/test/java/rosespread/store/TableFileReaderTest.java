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

/** Reading files of a store that were truncated or damaged later. */
class TableFileReaderTest extends StoreTestSupport {
    /** Number of lines in the snapshot of a new store's first file. */
    private static final int SNAPSHOT_LINES = 2;

    @Test
    void discardsIncompleteTailOfAnyLength() throws IOException {
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
        byte[] original = Files.readAllBytes(file);
        List<Integer> ends = lineEnds(original);
        for (int length = ends.get(SNAPSHOT_LINES - 1); length <= original.length; length += 7) {
            int completeLines = linesWithin(ends, length);
            int completeEntries = completeLines - SNAPSHOT_LINES;
            Files.write(file, Arrays.copyOf(original, length));
            TableFileReader.Content content = TableFileReader.read(file);
            assertSameSnapshot(after.get(completeEntries), content.snapshot());
            assertEquals(length - ends.get(completeLines - 1), content.discardedBytes());
            Files.write(file, withZeros(Arrays.copyOf(original, length)));
            assertEquals(
                    completeEntries,
                    TableFileReader.read(file).entries(),
                    "zeros that a crash left are discarded too");
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
    void rejectsAndSetsAsideFileDamagedBeforeValidLine(double fraction) throws IOException {
        fixture.open();
        fixture.append(new AppendedHistory(new Random(2)), 40);
        fixture.awaitDurable();
        fixture.close();
        Path file = fixture.file();
        byte[] bytes = Files.readAllBytes(file);
        int damagedAt = (int) (fraction * bytes.length);
        bytes[damagedAt] ^= 0x10;
        Files.write(file, bytes);
        StoreException rejection =
                assertThrows(StoreException.class, () -> TableFileReader.read(file));
        String place = file + ": damaged at byte " + lineStart(bytes, damagedAt) + " of ";
        assertTrue(rejection.getMessage().startsWith(place), rejection::getMessage);
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
    void rejectsFileWithIncompleteSnapshot() throws IOException {
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
