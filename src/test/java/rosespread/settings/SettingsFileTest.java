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
    void fileDamagedAtAnyByteIsRejectedAndSetAside(@TempDir Path directory) throws IOException {
        SettingsFile settingsFile = new SettingsFile(directory);
        assertEquals(Optional.empty(), settingsFile.load());
        settingsFile.save(new SettingsFile.Saved(SettingsTest.VALID_SETTINGS, 3, "o", "c", 1));
        Path file = directory.resolve("settings.json");
        byte[] validBytes = Files.readAllBytes(file);
        SettingsFile.Saved saved = new SettingsFile(directory).load().orElseThrow();
        assertEquals(3, saved.revision());
        for (int offset = 0; offset < validBytes.length; offset++) {
            byte[] cut = Arrays.copyOf(validBytes, offset);
            byte[] flipped = validBytes.clone();
            flipped[offset] ^= 1;
            for (byte[] damaged : List.of(cut, flipped)) {
                Files.write(file, damaged);
                try {
                    // A flipped bit in whitespace may leave the content unchanged.
                    assertEquals(
                            Optional.of(saved),
                            new SettingsFile(directory).load(),
                            "byte " + offset);
                } catch (IOException e) {
                    assertTrue(e.getMessage().contains("settings.json"), e.getMessage());
                }
            }
        }
        Files.write(file, new byte[] {'{'});
        SettingsFile reopenedFile = new SettingsFile(directory);
        assertThrows(IOException.class, reopenedFile::load);
        Path setAsideFile = reopenedFile.save(saved).orElseThrow();
        assertEquals("{", Files.readString(setAsideFile));
        assertEquals(saved, new SettingsFile(directory).load().orElseThrow());
    }
}
