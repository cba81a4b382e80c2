package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import rosespread.audit.AuditLog;
import rosespread.settings.SettingsFile;
import rosespread.store.StoreSnapshot;
import rosespread.table.PinState;
import rosespread.table.TableSnapshot;

/** Damage to a state directory of an earlier version is handled and reported as recorded. */
class StoredStateDamageTest extends StoredStateFixture {
    /** The size of the last entry of the tables file. */
    private static final int LAST_ENTRY_BYTES = 148;

    /** The entry that orders a rollback holds its target and the weights still to be changed. */
    @Test
    void fileTruncatedDuringRollbackLeavesRollbackPending() throws IOException {
        String content = text("v1/" + TABLES);
        int end = content.indexOf("1c08174b {\"n\":25");
        Files.writeString(file(TABLES), content.substring(0, end + 40));
        TableSnapshot table = restore().tables().get(2);
        assertEquals("PINNED", table.pinState().name());
        assertEquals(1, table.rollbackTarget());
        assertEquals(Set.of(1L), table.retained());
        assertEquals(
                Map.of("93c218910c6b496c", 1.0, "5d8619fdc4715e", 1.0, "6a284bbb7df2b3a6", 1.0),
                weightsByHexId(table.pending()));
        assertEquals(3, table.current().number());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 140})
    void truncatedTablesFileLosesOnlyLastEntry(int bytes) throws IOException {
        truncate(TABLES, bytes);
        StoreSnapshot snapshot = restore();
        assertEquals(text("restored.txt"), describeTables(snapshot));
        assertEquals(4, snapshot.drains().size());
        int remaining = LAST_ENTRY_BYTES - bytes;
        assertEquals(
                List.of(
                        "WARN "
                                + file(TABLES)
                                + ": discarded the incomplete last "
                                + remaining
                                + " bytes, from byte "
                                + (TABLES_BYTES - LAST_ENTRY_BYTES)
                                + " on"),
                loggedWarnings());
    }

    @ParameterizedTest
    @ValueSource(strings = {"garbage", "garbage\n", "00000000 {\"n\":33}\n", "\n\n\n"})
    void removesGarbageAfterTablesFile(String garbage) throws IOException {
        append(TABLES, garbage);
        StoreSnapshot snapshot = restore();
        assertEquals(text("restored.txt"), describeTables(snapshot));
        assertEquals(5, snapshot.drains().size());
        assertEquals(
                List.of(
                        "WARN "
                                + file(TABLES)
                                + ": discarded the incomplete last "
                                + garbage.length()
                                + " bytes, from byte 4699 on"),
                loggedWarnings());
    }

    /**
     * A file with damage that no crash can cause is rejected as a whole and kept for inspection.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"n\":21,|{\"n\":22,|2817 of 4699: computed checksum is 5b49e547, stored is \"74b825a6\"",
                "\"hold\":\"PINNED\"|\"hold\":\"PINNEX\"|57 of 4699: computed checksum is 849ba982, stored is "
                        + "\"d24b5ece\""
            })
    void rejectsDamageWithinTablesFile(String from, String to, String fault) throws IOException {
        String content = text("v1/" + TABLES);
        Files.writeString(file(TABLES), content.replaceFirst(Pattern.quote(from), to));
        assertEquals(StoreSnapshot.EMPTY, restore());
        assertTrue(Files.exists(file(TABLES + ".damaged-" + WALL_MILLIS)));
        assertEquals(
                List.of(
                        "ERROR "
                                + file(TABLES)
                                + ": damaged at byte "
                                + fault
                                + "; set aside as "
                                + file(TABLES + ".damaged-" + WALL_MILLIS)
                                + "; tables start from the node list, version numbers continue from"
                                + " those that proxies hold"),
                loggedWarnings());
    }

    /**
     * The last line is complete with a valid checksum, but does not follow from the lines before.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"n\":34,\"laidOut\":\"1\"}|sequence 34 does not follow sequence 32",
                "{\"n\":33,\"laid\":\"1\"}|unknown entry type",
                "{\"n\":33,\"hold\":{\"table\":9,\"state\":\"NONE\",\"to\":0,\"pending\":{}}}|"
                        + "table 9 has a pin change but no version",
                "{\"n\":33,\"version\":{\"table\":1,\"number\":7,"
                        + "\"parent\":6,"
                        + "\"cause\":\"MODULE\",\"at\":1,"
                        + "\"digest\":\"0\",\"changes\":{}}}|table 1: version 7 has digest "
                        + "7aef3e81f7c40890, stored is 0",
                "{\"n\":33,\"version\":{\"table\":1,\"number\":9,"
                        + "\"parent\":8,"
                        + "\"cause\":\"MODULE\",\"at\":1,"
                        + "\"digest\":\"0\",\"changes\":{}}}|table 1: version 9 with parent 8 does not "
                        + "follow current version 6"
            })
    void rejectsEntryThatDoesNotFollow(String json, String fault) throws IOException {
        assertRejected(json, fault);
    }

    @Test
    void rejectsEntryWithUnknownPinState() throws IOException {
        assertRejected(
                "{\"n\":33,\"hold\":{\"table\":1,\"state\":\"HELD\",\"to\":0,\"pending\":{}}}",
                "No enum constant " + PinState.class.getCanonicalName() + ".HELD");
    }

    private void assertRejected(String json, String fault) throws IOException {
        CRC32C crc = new CRC32C();
        crc.update(json.getBytes(StandardCharsets.UTF_8));
        append(TABLES, String.format("%08x %s\n", crc.getValue(), json));
        assertEquals(StoreSnapshot.EMPTY, restore());
        assertEquals(
                List.of(
                        "ERROR "
                                + file(TABLES)
                                + ": damaged at byte 4699 of "
                                + Files.size(file(TABLES + ".damaged-" + WALL_MILLIS))
                                + ": "
                                + fault
                                + "; set aside as "
                                + file(TABLES + ".damaged-" + WALL_MILLIS)
                                + "; tables start from the node list, version numbers continue from"
                                + " those that proxies hold"),
                loggedWarnings());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 180})
    void truncatedAuditLogLosesOnlyLastLine(int bytes) throws IOException {
        truncate(AUDIT, bytes);
        try (AuditLog log = new AuditLog(file(AUDIT), () -> WALL_MILLIS)) {
            assertTrue(log.write(auditedAction()));
        }
        assertEquals(AUDIT_LINES, AuditLog.verify(file(AUDIT)).lines());
        assertEquals("", AuditLog.verify(file(AUDIT)).fault());
    }

    @Test
    void removesUnterminatedGarbageAfterAuditLog() throws IOException {
        append(AUDIT, "garbage");
        assertEquals(
                new AuditLog.Verification(AUDIT_LINES, AUDIT_CHAIN, "line 29, byte 6018: not JSON"),
                AuditLog.verify(file(AUDIT)));
        new AuditLog(file(AUDIT), () -> WALL_MILLIS).close();
        assertArrayEquals(resource("v1/" + AUDIT), Files.readAllBytes(file(AUDIT)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "garbage|line 29, byte 6018: not JSON",
                "{}|line 29, byte 6018: expected a JSON object of at most 1048576 characters whose field chain is a string",
                "{\"n\":30,\"chain\":\"0\"}|line 29, byte 6018: field n is 30, expected 29",
                "{\"n\":29,\"chain\":\"0\"}|line 29, byte 6018: field chain does not match the hash of this line and the chain before it"
            })
    void rejectsCompleteGarbageLineAfterAuditLog(String garbage, String fault) throws IOException {
        append(AUDIT, garbage + "\n");
        IOException e =
                assertThrows(IOException.class, () -> new AuditLog(file(AUDIT), () -> WALL_MILLIS));
        assertEquals(file(AUDIT) + ": " + fault, e.getMessage());
    }

    @Test
    void detectsChangedAuditLine() throws IOException {
        String content = text("v1/" + AUDIT);
        Files.writeString(file(AUDIT), content.replaceFirst("drain-n1", "drain-n7"));
        AuditLog.Verification verification = AuditLog.verify(file(AUDIT));
        assertEquals(12, verification.lines());
        assertEquals(
                "line 13, byte 2542: field chain does not match the hash of this line and the chain before it",
                verification.fault());
    }

    @Test
    void rejectsDamagedSettingsFile() throws IOException {
        truncate(SETTINGS, 3);
        assertEquals(
                "/settings.json: damaged at byte 814 of 814: Unexpected end-of-input in"
                        + " VALUE_STRING",
                loadFailure());
        Files.write(file(SETTINGS), resource("v1/" + SETTINGS));
        Files.writeString(
                file(SETTINGS), text("v1/" + SETTINGS).replace("\"seed\" : 7", "\"seed\" : 8"));
        assertEquals(
                "/settings.json: field digest is \"0x84b42e3ec1046869b6f327bd0cd5d98e\"; the digest "
                        + "of the content is \"0xeb742477e9ed484f0505854cef605dca\"",
                loadFailure());
    }

    private String loadFailure() {
        return assertThrows(IOException.class, () -> new SettingsFile(folder).load())
                .getMessage()
                .replace(folder.toString(), "");
    }
}
