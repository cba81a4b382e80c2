package rosespread.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AuditLogTest {
    @TempDir private Path folder;

    private Path log(int acts) throws IOException {
        Path path = folder.resolve("audit.log");
        try (AuditLog log = new AuditLog(path, () -> 7)) {
            for (int i = 0; i < acts; i++) {
                assertTrue(
                        log.write(
                                new AuditLog.Act(
                                        "o" + i % 2, "127.0.0.1", "drain n" + i, "c" + i, "done")));
            }
        }
        return path;
    }

    @Test
    void goesOnWithAFileAndItsChain() throws IOException {
        log(3);
        Path path = log(2);
        AuditLog.Verification verdict = AuditLog.verify(path);
        assertEquals("", verdict.fault());
        assertEquals(5, verdict.lines());
    }

    /** Every way to change a file later but for cutting its end off. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "CHANGED|line 3, byte |its chain",
                "TAKEN_OUT|line 3, byte |its number",
                "SWAPPED|line 3, byte |its number",
                "PUT_IN|line 3, byte |its number",
                "RENUMBERED|line 3, byte |its chain",
                "RUBBISH|line 3, byte |not JSON"
            })
    void findsALineThatWasChangedLater(String way, String place, String why) throws IOException {
        Path path = log(6);
        List<String> lines = new ArrayList<>(Files.readAllLines(path));
        switch (way) {
            case "CHANGED" -> lines.set(2, lines.get(2).replace("drain n2", "drain n3"));
            case "TAKEN_OUT" -> lines.remove(2);
            case "SWAPPED" -> lines.add(2, lines.remove(3));
            case "PUT_IN" -> lines.add(2, lines.get(1));
            case "RENUMBERED" -> {
                lines.remove(2);
                lines.set(2, lines.get(2).replace("\"n\":4", "\"n\":3"));
            }
            default -> lines.set(2, "x" + lines.get(2));
        }
        Files.write(path, lines);
        AuditLog.Verification verdict = AuditLog.verify(path);
        assertTrue(
                verdict.fault().startsWith(place) && verdict.fault().contains(why),
                verdict.fault());
        IOException told = assertThrows(IOException.class, () -> new AuditLog(path, () -> 7));
        assertTrue(told.getMessage().contains(place), told.getMessage());
    }

    @Test
    void cutsALastLineThatIsNotWhole() throws IOException {
        Path path = log(2);
        Files.writeString(path, Files.readString(path) + "{\"n\":3,\"who\":");
        log(1);
        assertEquals(3, AuditLog.verify(path).lines());
        assertEquals("", AuditLog.verify(path).fault());
    }
}
