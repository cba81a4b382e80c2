package rosespread.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsFileTest {
    @Test
    void snapshotDamagedAtAnyByteIsRefusedAndSetAside(@TempDir Path folder) throws IOException {
        SettingsFile snapshot = new SettingsFile(folder);
        assertEquals(Optional.empty(), snapshot.load());
        snapshot.save(new SettingsFile.Saved(SettingsTest.VALID_SETTINGS, 3, "o", "c", 1));
        Path file = folder.resolve("settings.json");
        byte[] good = Files.readAllBytes(file);
        SettingsFile.Saved saved = new SettingsFile(folder).load().orElseThrow();
        assertEquals(3, saved.revision());
        for (int at = 0; at < good.length; at++) {
            byte[] cut = Arrays.copyOf(good, at);
            byte[] flipped = good.clone();
            flipped[at] ^= 1;
            for (byte[] damaged : List.of(cut, flipped)) {
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
