package rosespread.controller;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.LoggerFactory;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.audit.AuditLog;
import rosespread.drain.Drain;
import rosespread.settings.SettingsFile;
import rosespread.store.LogEntry;
import rosespread.store.LogOutput;
import rosespread.store.StoreSnapshot;
import rosespread.store.TableStore;
import rosespread.table.PinState;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;
import rosespread.validation.TableChangeValidator;

/**
 * A state directory that an earlier version wrote is restored as it was, a damaged one is treated
 * as it was, and what is written now has the form that it had. The directory is the test resource
 * {@code stored/v1}: a whole process wrote it over two restarts. Expected values are the recorded
 * ones, never computed anew.
 */
class StoredStateTest {
    private static final InetSocketAddress ANY =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final String TABLES = "tables-000003.log";
    private static final String REWRITTEN = "tables-000004.log";
    private static final String AUDIT = "audit.log";
    private static final String SETTINGS = "settings.json";
    private static final int AUDIT_LINES = 28;
    private static final int TABLES_BYTES = 4699;
    private static final int AUDIT_BYTES = 6018;
    private static final String AUDIT_CHAIN =
            "5703763dcae16b29c54b1fcdbf554e1a6a63fcecd9c3d012e4123450beca3591";
    private static final long WALL = 1_700_000_000_000L;
    private static final NodeId LOW = new NodeId(3);
    private static final NodeId HIGH = new NodeId(-2);

    /** Bytes of the last entry of the tables file. */
    private static final int LAST_ENTRY = 148;

    private static final Logger ROOT =
            (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);

    private final ListAppender<ILoggingEvent> logged = new ListAppender<>();

    @TempDir private Path folder;

    @BeforeEach
    void copy() throws IOException {
        for (String name : List.of(TABLES, AUDIT, SETTINGS)) {
            Files.write(folder.resolve(name), resource("v1/" + name));
        }
        logged.start();
        ROOT.addAppender(logged);
    }

    @AfterEach
    void listenNoMore() {
        ROOT.detachAppender(logged);
    }

    /** Warnings and errors that name the folder. */
    private List<String> warned() {
        return List.copyOf(logged.list).stream()
                .filter(e -> e.getLevel().isGreaterOrEqual(Level.WARN))
                .map(e -> e.getLevel() + " " + e.getFormattedMessage())
                .filter(text -> text.contains(folder.toString()))
                .toList();
    }

    private static byte[] resource(String name) throws IOException {
        try (InputStream in =
                StoredStateTest.class.getResourceAsStream("/rosespread/stored/" + name)) {
            return in.readAllBytes();
        }
    }

    private static String text(String name) throws IOException {
        return new String(resource(name), StandardCharsets.UTF_8);
    }

    private Path file(String name) {
        return folder.resolve(name);
    }

    private void cut(String name, int bytes) throws IOException {
        byte[] all = Files.readAllBytes(file(name));
        Files.write(file(name), Arrays.copyOf(all, all.length - bytes));
    }

    private void add(String name, String garbage) throws IOException {
        Files.writeString(file(name), garbage, StandardOpenOption.APPEND);
    }

    private TableStore store(Path at) {
        return new TableStore(at, LogOutput.DISK, () -> WALL, () -> {});
    }

    private StoreSnapshot restored() throws IOException {
        try (TableStore store = store(folder)) {
            return store.open();
        }
    }

    @Test
    void theResourceIsAsItWasWritten() throws IOException {
        assertEquals(TABLES_BYTES, resource("v1/" + TABLES).length);
        assertEquals(AUDIT_BYTES, resource("v1/" + AUDIT).length);
    }

    @Test
    void restoresTablesVersionsAndPins() throws IOException {
        StoreSnapshot image = restored();
        assertEquals("95ab53fcb8a899b2", Long.toHexString(image.layout()));
        assertEquals(text("restored.txt"), tables(image));
    }

    /** One line for each table and each of its versions, with all weights. */
    private static String tables(StoreSnapshot image) {
        StringBuilder all = new StringBuilder();
        for (TableSnapshot table : image.tables()) {
            all.append(table.pinState().name())
                    .append(" to ")
                    .append(table.rollbackTarget())
                    .append(" kept ")
                    .append(table.retained())
                    .append(" pending ")
                    .append(weights(table.pending()))
                    .append('\n');
            for (TableVersion v : table.versions()) {
                all.append("  ")
                        .append(v.table().value())
                        .append(" version ")
                        .append(v.number())
                        .append(" after ")
                        .append(v.parent())
                        .append(' ')
                        .append(v.cause().name())
                        .append(" at ")
                        .append(v.atMillis())
                        .append(' ')
                        .append(Long.toHexString(v.digest()))
                        .append(' ')
                        .append(weights(v.lines()))
                        .append('\n');
            }
        }
        return all.toString();
    }

    private static Map<String, Double> weights(Map<NodeId, Double> lines) {
        Map<String, Double> named = new TreeMap<>();
        lines.forEach((node, weight) -> named.put(Long.toHexString(node.value()), weight));
        return named;
    }

    @Test
    void restoresDrains() throws IOException {
        assertEquals(
                List.of(
                        "4be6ebe71f0b0a3f n1 true 1 ana drain-n1 1796224304835",
                        "6a284bbb7df2b3a6 n2 true 2 bo drain-n2 1796224304923",
                        "6a284bbb7df2b3a6 n2 false 3 ana undrain-n2 1796224305011",
                        "d01772803416568a n5 true 4 ana drain-n5 1796224308302",
                        "5d8619fdc4715e n4 false 5 unnamed own-1796224305712-3 1796224308389"),
                drains(restored().drains()));
    }

    private static List<String> drains(List<Drain> drains) {
        return drains.stream()
                .map(
                        d ->
                                Long.toHexString(d.node().value())
                                        + " "
                                        + d.name()
                                        + " "
                                        + d.on()
                                        + " "
                                        + d.stamp()
                                        + " "
                                        + d.by()
                                        + " "
                                        + d.call()
                                        + " "
                                        + d.atMillis())
                .toList();
    }

    @Test
    void writesWhatItRestoredAsItDid() throws IOException {
        restored();
        assertEquals(text("rewritten-" + REWRITTEN), Files.readString(file(REWRITTEN)));
        assertFalse(Files.exists(file(TABLES)));
        StoreSnapshot again = restored();
        assertEquals(text("restored.txt"), tables(again));
    }

    @Test
    void restoresSettings() throws IOException {
        SettingsFile.Saved saved = new SettingsFile(folder).load().orElseThrow();
        assertEquals(2, saved.revision());
        assertEquals("bo", saved.operator());
        assertEquals("settings-2", saved.requestId());
        assertEquals(1796224299644L, saved.savedAtMillis());
        assertEquals(
                "{\"zones\":[\"a\",\"b\"],\"kinds\":[\"k\"],\"methods\":[{\"name\":\"quote\","
                        + "\"criticality\":1},{\"name\":\"book\",\"criticality\":3,\"onlyKinds\":[]}],"
                        + "\"list\":{\"port\":8500,\"service\":\"nodes\"},\"levels\":\"rate\","
                        + "\"channel\":{\"linesPerSecond\":20000,\"linesPerMessage\":10,\"queueLimit\":30000,"
                        + "\"messageLimit\":30},\"reportPeriodMs\":1000,\"seed\":7,\"drainLeastShare\":0.3,"
                        + "\"drainGraceMs\":2000,\"cold\":{\"timeMs\":16000,\"share\":0.2,\"windowMs\":1500}}",
                saved.json());
    }

    /** The whole process takes it up: nothing is listed, so that nothing moves. */
    @Test
    void aProcessGoesOnFromIt() throws Exception {
        try (Controller conductor =
                new Controller("c", folder, Controller.ROUTING_POLICY, new TableChangeValidator())) {
            conductor.start(ANY);
            assertEquals("", conductor.settingsTrouble());
            assertEquals(2, conductor.settings().orElseThrow().revision());
            Controller.Applied applied = conductor.apply("not read", "x", "settings-2", -1);
            assertTrue(applied.done());
            assertEquals(2, applied.inForce().orElseThrow().revision());
            assertEquals(
                    List.of(
                            "1 PINNED 6 7aef3e81f7c40890 6",
                            "2 RELEASING 8 5bac19e3d9367829 8",
                            "3 PINNED 5 599cf9e6ebaa9fa0 5"),
                    conductor.state().tables().stream().map(StoredStateTest::told).toList());
            assertEquals(
                    Set.of(
                            "n1 true 1 ana",
                            "n2 false 3 ana",
                            "n4 false 5 unnamed",
                            "n5 true 4 ana"),
                    new TreeSet<>(
                            conductor.drains().stream()
                                    .map(
                                            d ->
                                                    d.name() + " " + d.on() + " " + d.stamp() + " "
                                                            + d.by())
                                    .toList()));
            DrainResult again =
                    conductor.drain(new DrainRequest("n2", true, "bo", "drain-n2", -1, false));
            assertEquals(DrainResult.Kind.REPEATED, again.kind());
            assertEquals(
                    List.of("5d8619fdc4715e 1.0 0.25", "6a284bbb7df2b3a6 1.0 0.5"),
                    conductor.difference(3, 1, 2).orElseThrow().lines().stream()
                            .map(c -> c.node() + " " + c.before() + " " + c.after())
                            .toList());
        }
    }

    private static String told(ControllerStatus.Table table) {
        ControllerStatus.Version last = table.versions().get(table.versions().size() - 1);
        return table.table()
                + " "
                + table.held()
                + " "
                + table.version()
                + " "
                + last.digest()
                + " "
                + table.versions().size();
    }

    @Test
    void theAuditChainHoldsAndGoesOn() throws IOException {
        AuditLog.Verification verdict = AuditLog.verify(file(AUDIT));
        assertEquals(new AuditLog.Verification(AUDIT_LINES, AUDIT_CHAIN, ""), verdict);
        try (AuditLog log = new AuditLog(file(AUDIT), () -> WALL)) {
            assertTrue(log.write(act()));
        }
        assertEquals(
                text("v1/" + AUDIT)
                        + "{\"n\":29,\"at\":1700000000000,\"who\":\"eve\",\"from\":\"control.example\",\"what\""
                        + ":\"POST /v1/tables/1/release\",\"call\":\"free-1\",\"outcome\":\"200 done\",\"cha"
                        + "in\":\"59201fd965218631cf9227fa8d323eefe80b7d29afac13fee765941aa7772c80\""
                        + "}\n",
                Files.readString(file(AUDIT)));
        assertEquals(AUDIT_LINES + 1, AuditLog.verify(file(AUDIT)).lines());
    }

    private static AuditLog.Act act() {
        return new AuditLog.Act(
                "eve", "control.example", "POST /v1/tables/1/release", "free-1", "200 done");
    }

    @Test
    void auditEntriesCarryTheirFacts() throws IOException {
        List<String> acts = new ArrayList<>();
        for (String line : Files.readAllLines(file(AUDIT))) {
            JsonNode all = new ObjectMapper().readTree(line);
            if (!all.path("outcome").asText().equals("asked")) {
                acts.add(
                        all.path("n").asLong()
                                + " "
                                + all.path("who").asText()
                                + " "
                                + all.path("what").asText()
                                + " "
                                + all.path("call").asText()
                                + " "
                                + all.path("outcome").asText().substring(0, 3));
            }
        }
        assertEquals(14, acts.size());
        assertEquals("2 ana PUT /v1/settings settings-1 200", acts.get(0));
        assertEquals("4 bo PUT /v1/settings settings-bad 422", acts.get(1));
        assertEquals("10 bo POST /v1/tables/2/rollback?version=2 back-2 200", acts.get(4));
        assertEquals("20 bo POST /v1/nodes/n4/drain drain-n4 412", acts.get(9));
        assertEquals("28 unnamed POST /v1/nodes/n4/undrain own-1796224305712-3 200", acts.get(13));
    }

    /** The pin's target and what it still has to change stand in the entry that ordered it. */
    @Test
    void aTailCutWithinARollbackLeavesItPending() throws IOException {
        String all = text("v1/" + TABLES);
        int end = all.indexOf("1c08174b {\"n\":25");
        Files.writeString(file(TABLES), all.substring(0, end + 40));
        TableSnapshot table = restored().tables().get(2);
        assertEquals("PINNED", table.pinState().name());
        assertEquals(1, table.rollbackTarget());
        assertEquals(Set.of(1L), table.retained());
        assertEquals(
                Map.of("93c218910c6b496c", 1.0, "5d8619fdc4715e", 1.0, "6a284bbb7df2b3a6", 1.0),
                weights(table.pending()));
        assertEquals(3, table.current().number());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 140})
    void aTablesFilesCutTailCostsItsLastEntry(int bytes) throws IOException {
        cut(TABLES, bytes);
        StoreSnapshot image = restored();
        assertEquals(text("restored.txt"), tables(image));
        assertEquals(4, image.drains().size());
        int left = LAST_ENTRY - bytes;
        assertEquals(
                List.of(
                        "WARN "
                                + file(TABLES)
                                + ": the last "
                                + left
                                + " bytes, from byte "
                                + (TABLES_BYTES - LAST_ENTRY)
                                + " on, were not whole and are cut"),
                warned());
    }

    @ParameterizedTest
    @ValueSource(strings = {"garbage", "garbage\n", "00000000 {\"n\":33}\n", "\n\n\n"})
    void garbageAfterATablesFileIsCut(String garbage) throws IOException {
        add(TABLES, garbage);
        StoreSnapshot image = restored();
        assertEquals(text("restored.txt"), tables(image));
        assertEquals(5, image.drains().size());
        assertEquals(
                List.of(
                        "WARN "
                                + file(TABLES)
                                + ": the last "
                                + garbage.length()
                                + " bytes, from byte 4699 on, were not whole and are cut"),
                warned());
    }

    /** What no crash can leave is refused as a whole, and the file stays for a look. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"n\":21,|{\"n\":22,|2817 of 4699: the checksum is 5b49e547, written was \"74b825a6\"",
                "\"hold\":\"PINNED\"|\"hold\":\"PINNEX\"|57 of 4699: the checksum is 849ba982, written was "
                        + "\"d24b5ece\""
            })
    void damageWithinATablesFileIsRefused(String from, String to, String fault) throws IOException {
        String all = text("v1/" + TABLES);
        Files.writeString(file(TABLES), all.replaceFirst(Pattern.quote(from), to));
        assertEquals(StoreSnapshot.EMPTY, restored());
        assertTrue(Files.exists(file(TABLES + ".damaged-" + WALL)));
        assertEquals(
                List.of(
                        "ERROR "
                                + file(TABLES)
                                + ": damaged at byte "
                                + fault
                                + "; set aside as "
                                + file(TABLES + ".damaged-" + WALL)
                                + "; tables begin from the list and from what proxies hold"),
                warned());
    }

    /** A whole last line whose checksum is right but which does not follow from those before. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "{\"n\":34,\"laidOut\":\"1\"}|sequence 34 after 32",
                "{\"n\":33,\"laid\":\"1\"}|an entry of no known kind",
                "{\"n\":33,\"hold\":{\"table\":9,\"state\":\"NONE\",\"to\":0,\"pending\":{}}}|"
                        + "table 9 is held but has no version",
                "{\"n\":33,\"version\":{\"table\":1,\"number\":7,"
                        + "\"parent\":6,"
                        + "\"cause\":\"MODULE\",\"at\":1,"
                        + "\"digest\":\"0\",\"changes\":{}}}|table 1: version 7 has digest "
                        + "7aef3e81f7c40890, written was 0",
                "{\"n\":33,\"version\":{\"table\":1,\"number\":9,"
                        + "\"parent\":8,"
                        + "\"cause\":\"MODULE\",\"at\":1,"
                        + "\"digest\":\"0\",\"changes\":{}}}|table 1: version 9 after 8 does not "
                        + "follow version 6"
            })
    void anEntryThatDoesNotFollowIsRefused(String json, String fault) throws IOException {
        refuses(json, fault);
    }

    @Test
    void anEntryWithAnUnknownStateIsRefused() throws IOException {
        refuses(
                "{\"n\":33,\"hold\":{\"table\":1,\"state\":\"HELD\",\"to\":0,\"pending\":{}}}",
                "No enum constant " + PinState.class.getCanonicalName() + ".HELD");
    }

    private void refuses(String json, String fault) throws IOException {
        CRC32C crc = new CRC32C();
        crc.update(json.getBytes(StandardCharsets.UTF_8));
        add(TABLES, String.format("%08x %s\n", crc.getValue(), json));
        assertEquals(StoreSnapshot.EMPTY, restored());
        assertEquals(
                List.of(
                        "ERROR "
                                + file(TABLES)
                                + ": damaged at byte 4699 of "
                                + Files.size(file(TABLES + ".damaged-" + WALL))
                                + ": "
                                + fault
                                + "; set aside as "
                                + file(TABLES + ".damaged-" + WALL)
                                + "; tables begin from the list and from what proxies hold"),
                warned());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 180})
    void anAuditLogsCutTailCostsItsLastLine(int bytes) throws IOException {
        cut(AUDIT, bytes);
        try (AuditLog log = new AuditLog(file(AUDIT), () -> WALL)) {
            assertTrue(log.write(act()));
        }
        assertEquals(AUDIT_LINES, AuditLog.verify(file(AUDIT)).lines());
        assertEquals("", AuditLog.verify(file(AUDIT)).fault());
    }

    @Test
    void garbageWithoutAnEndAfterAnAuditLogIsCut() throws IOException {
        add(AUDIT, "garbage");
        assertEquals(
                new AuditLog.Verification(AUDIT_LINES, AUDIT_CHAIN, "line 29, byte 6018: not JSON"),
                AuditLog.verify(file(AUDIT)));
        new AuditLog(file(AUDIT), () -> WALL).close();
        assertArrayEquals(resource("v1/" + AUDIT), Files.readAllBytes(file(AUDIT)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "garbage|line 29, byte 6018: not JSON",
                "{}|line 29, byte 6018: not a line of an audit log",
                "{\"n\":30,\"chain\":\"0\"}|line 29, byte 6018: its number is 30",
                "{\"n\":29,\"chain\":\"0\"}|line 29, byte 6018: its chain does not follow from the line before"
            })
    void aWholeLineOfGarbageAfterAnAuditLogIsRefused(String garbage, String fault)
            throws IOException {
        add(AUDIT, garbage + "\n");
        IOException e =
                assertThrows(IOException.class, () -> new AuditLog(file(AUDIT), () -> WALL));
        assertEquals(file(AUDIT) + ": " + fault, e.getMessage());
    }

    @Test
    void aChangedAuditLineIsFound() throws IOException {
        String all = text("v1/" + AUDIT);
        Files.writeString(file(AUDIT), all.replaceFirst("drain-n1", "drain-n7"));
        AuditLog.Verification verdict = AuditLog.verify(file(AUDIT));
        assertEquals(12, verdict.lines());
        assertEquals(
                "line 13, byte 2542: its chain does not follow from the line before",
                verdict.fault());
    }

    @Test
    void aDamagedSettingsFileIsRefused() throws IOException {
        cut(SETTINGS, 3);
        assertEquals(
                "/settings.json: damaged at byte 814 of 814: Unexpected end-of-input in"
                        + " VALUE_STRING",
                refusal());
        Files.write(file(SETTINGS), resource("v1/" + SETTINGS));
        Files.writeString(
                file(SETTINGS), text("v1/" + SETTINGS).replace("\"seed\" : 7", "\"seed\" : 8"));
        assertEquals(
                "/settings.json: field digest is \"0x84b42e3ec1046869b6f327bd0cd5d98e\"; what is in "
                        + "the file has \"0xeb742477e9ed484f0505854cef605dca\"",
                refusal());
    }

    private String refusal() {
        return assertThrows(IOException.class, () -> new SettingsFile(folder).load())
                .getMessage()
                .replace(folder.toString(), "");
    }

    /** Each kind of entry with each state and cause that one can carry. */
    @Test
    void entriesHaveTheFormThatTheyHad(@TempDir Path empty) throws IOException {
        TableVersion version = TableVersion.empty(new TableId(7), 4);
        List<LogEntry> entries = new ArrayList<>(List.of(new LogEntry.LayoutChanged(-3)));
        double weight = 1;
        for (TableVersion.Cause cause : TableVersion.Cause.values()) {
            version =
                    version.with(
                            Map.of(LOW, weight, HIGH, weight / 4), cause, WALL + (long) weight);
            entries.add(new LogEntry.VersionCommitted(version));
            weight++;
        }
        for (PinState hold : PinState.values()) {
            entries.add(
                    new LogEntry.PinChanged(
                            new TableId(7),
                            hold,
                            hold == PinState.PINNED ? 5 : 0,
                            hold == PinState.PINNED ? Map.of(LOW, 0.25, HIGH, 0.0) : Map.of()));
        }
        entries.add(new LogEntry.DrainChanged(drain()));
        try (TableStore store = store(empty)) {
            store.open();
            entries.forEach(store::append);
            await().until(() -> store.durable() == entries.size());
        }
        assertEquals(text("entries.log"), Files.readString(empty.resolve("tables-000001.log")));
    }

    private static Drain drain() {
        return new Drain(LOW, "node-\u00fc", true, 41, "eve", "call-41", WALL);
    }

    @Test
    void anImageHasTheFormThatItHad(@TempDir Path empty) throws IOException {
        TableVersion whole =
                TableVersion.whole(
                        new TableId(7),
                        5,
                        TableVersion.Cause.REJOIN,
                        WALL,
                        2,
                        Map.of(LOW, 1.5, HIGH, 0.1));
        TableVersion next = whole.with(Map.of(HIGH, 0.0), TableVersion.Cause.OPERATOR, WALL + 1);
        TableSnapshot table =
                new TableSnapshot(
                        List.of(whole, next), Set.of(5L), PinState.PINNED, 5, Map.of(HIGH, 0.1));
        try (TableStore store = store(empty)) {
            store.open();
            store.writeSnapshot(new StoreSnapshot(-3, List.of(table), List.of(drain())));
            await().until(() -> Files.exists(empty.resolve("tables-000002.log")));
        }
        assertEquals(text("image.log"), Files.readString(empty.resolve("tables-000002.log")));
    }

    @Test
    void aSnapshotHasTheFormThatItHad(@TempDir Path empty) throws IOException {
        new SettingsFile(empty)
                .save(
                        new SettingsFile.Saved(
                                "{\"zones\":[\"a\"],\"seed\":7}", 12, "eve", "call-9", WALL));
        assertEquals(
                """
                {
                  "format" : 2,
                  "savedAtMillis" : 1700000000000,
                  "revision" : 12,
                  "by" : "eve",
                  "call" : "call-9",
                  "settings" : {
                    "zones" : [ "a" ],
                    "seed" : 7
                  },
                  "digest" : "0x6b3c321f73214f57fba3b2a6f7974e45"
                }""",
                Files.readString(empty.resolve(SETTINGS)));
    }

    @Test
    void anAuditLineHasTheFormThatItHad(@TempDir Path empty) throws IOException {
        try (AuditLog log = new AuditLog(empty.resolve(AUDIT), () -> WALL)) {
            log.write(act());
        }
        assertEquals(
                "{\"n\":1,\"at\":1700000000000,\"who\":\"eve\",\"from\":\"control.example\",\"what\":"
                        + "\"POST /v1/tables/1/release\",\"call\":\"free-1\",\"outcome\":\"200 done\",\"chai"
                        + "n\":\"ec3c03fd9187e5f464438fa441ce206c2c27b20b9efe90f5010b173ef0061fdf\"}"
                        + "\n",
                Files.readString(empty.resolve(AUDIT)));
    }

    @Test
    void aDrainHasTheFormThatConductorsTellEachOther() throws IOException {
        ObjectMapper json = new ObjectMapper();
        assertEquals(
                "{\"words\":[{\"node\":\"3\",\"name\":\"node-\u00fc\",\"on\":true,\"stamp\":41,"
                        + "\"by\":\"eve\",\"call\":\"call-41\",\"at\":1700000000000}]}",
                json.writeValueAsString(DrainJson.write(List.of(drain()))));
    }
}
