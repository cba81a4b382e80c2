package rosespread.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

public class SettingsTest {
    public static final String GOOD =
            """
            {"zones":["a","b"],"kinds":["k"],
             "methods":[{"name":"quote","criticality":1},{"name":"book","criticality":3,"onlyKinds":["k"]}],
             "list":{"port":8500,"service":"nodes"},"levels":"rate",
             "channel":{"linesPerSecond":1000,"linesPerMessage":10,"queueLimit":1500,"messageLimit":30},
             "reportPeriodMs":1000,"drainGraceMs":2000,
             "cold":{"timeMs":16000,"share":0.2,"windowMs":1500}}""";

    @Test
    void readsWhatTheModuleIsTold() throws SettingsException {
        FleetSettings settings = SettingsReader.read(GOOD);
        assertEquals(2_000_000_000L, settings.policySettings().drainTimeoutNanos());
        assertEquals(2, settings.policySettings().zones());
        assertEquals(1, settings.policySettings().methods().get(1).allowedMachineTypes().size());
        assertEquals(10_000_000_000L, settings.channel().messageWindowNanos());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"zones\":[\"a\",\"b\"]|\"zones\":[\"a\",\"a\"]|zones[1]|\"a\"",
                "\"port\":8500|\"port\":70000|list.port|70000",
                "\"port\":8500|\"port\":\"8500\"|list.port|\"8500\"",
                "\"onlyKinds\":[\"k\"]|\"onlyKinds\":[\"z\"]|methods[1].onlyKinds[0]|\"z\"",
                "\"name\":\"book\"|\"name\":\"quote\"|methods[1].name|\"quote\"",
                "\"levels\":\"rate\"|\"levels\":\"fast\"|levels|\"fast\"",
                "\"linesPerSecond\":1000|\"linesPerSecond\":0|channel.linesPerSecond|0",
                "\"linesPerSecond\":1000|\"linesPerSecnd\":1000|channel.linesPerSecond|missing",
                "\"share\":0.2|\"share\":1.2|cold.share|1.2",
                "\"cold\":{|\"cold\":7,\"x\":{|cold|7",
                "\"drainGraceMs\":2000|\"drainGraceMs\":2000,\"drainGraceMs\":1|(whole)|line 5",
                "\"zones\"|zones|(whole)|line 1, column"
            })
    void namesFieldValueAndWhatIsAllowed(String from, String to, String field, String value) {
        SettingsException e =
                assertThrows(
                        SettingsException.class, () -> SettingsReader.read(GOOD.replace(from, to)));
        assertTrue(
                e.invalidFields().stream()
                        .anyMatch(
                                f ->
                                        f.field().equals(field)
                                                && f.found().startsWith(value)
                                                && !f.allowed().isEmpty()),
                e.getMessage());
    }

    @Test
    void tellsAllFaultsAtOnce() {
        SettingsException e =
                assertThrows(SettingsException.class, () -> SettingsReader.read("{}"));
        assertTrue(e.invalidFields().size() > 8, e.getMessage());
    }

    @Test
    void refusesASnapshotDamagedAtAnyByteAndSetsItAside(@TempDir Path folder) throws IOException {
        SettingsFile snapshot = new SettingsFile(folder);
        assertEquals(Optional.empty(), snapshot.load());
        snapshot.save(new SettingsFile.Saved(GOOD, 3, "o", "c", 1));
        Path file = folder.resolve("settings.json");
        byte[] good = Files.readAllBytes(file);
        SettingsFile.Saved saved = new SettingsFile(folder).load().orElseThrow();
        assertEquals(3, saved.revision());
        for (int at = 0; at < good.length; at++) {
            byte[] cut = java.util.Arrays.copyOf(good, at);
            byte[] flipped = good.clone();
            flipped[at] ^= 1;
            for (byte[] damaged : java.util.List.of(cut, flipped)) {
                Files.write(file, damaged);
                try {
                    // A flip may fall on what does not matter: a space.
                    assertEquals(Optional.of(saved), new SettingsFile(folder).load(), "byte " + at);
                } catch (IOException e) {
                    assertTrue(e.getMessage().contains("settings.json"), e.getMessage());
                }
            }
        }
        Files.write(file, new byte[] {'{'});
        SettingsFile after = new SettingsFile(folder);
        assertThrows(IOException.class, after::load);
        Path aside = after.save(saved).orElseThrow();
        assertEquals("{", Files.readString(aside));
        assertEquals(saved, new SettingsFile(folder).load().orElseThrow());
    }
}
