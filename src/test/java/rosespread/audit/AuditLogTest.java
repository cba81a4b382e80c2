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

/** Audit logs that are reopened, changed or truncated. */
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
    void continuesChainOfReopenedFile() throws IOException {
        log(3);
        Path path = log(2);
        AuditLog.Verification verification = AuditLog.verify(path);
        assertEquals("", verification.fault());
        assertEquals(5, verification.lines());
    }

    /** Every kind of later change to a file, except for removing lines from its end. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "CHANGED|line 3, byte |field chain does not match",
                "REMOVED|line 3, byte |field n is",
                "SWAPPED|line 3, byte |field n is",
                "INSERTED|line 3, byte |field n is",
                "RENUMBERED|line 3, byte |field chain does not match",
                "GARBAGE|line 3, byte |not JSON"
            })
    void findsChangedLineAndRejectsFile(String change, String place, String fault)
            throws IOException {
        Path path = log(6);
        List<String> lines = new ArrayList<>(Files.readAllLines(path));
        switch (change) {
            case "CHANGED" -> lines.set(2, lines.get(2).replace("drain n2", "drain n3"));
            case "REMOVED" -> lines.remove(2);
            case "SWAPPED" -> lines.add(2, lines.remove(3));
            case "INSERTED" -> lines.add(2, lines.get(1));
            case "RENUMBERED" -> {
                lines.remove(2);
                lines.set(2, lines.get(2).replace("\"n\":4", "\"n\":3"));
            }
            default -> lines.set(2, "x" + lines.get(2));
        }
        Files.write(path, lines);
        AuditLog.Verification verification = AuditLog.verify(path);
        assertTrue(
                verification.fault().startsWith(place) && verification.fault().contains(fault),
                verification.fault());
        IOException rejection = assertThrows(IOException.class, () -> new AuditLog(path, () -> 7));
        assertTrue(rejection.getMessage().contains(place), rejection.getMessage());
    }

    @Test
    void truncatesIncompleteLastLine() throws IOException {
        Path path = log(2);
        Files.writeString(path, Files.readString(path) + "{\"n\":3,\"who\":");
        log(1);
        assertEquals(3, AuditLog.verify(path).lines());
        assertEquals("", AuditLog.verify(path).fault());
    }
}
