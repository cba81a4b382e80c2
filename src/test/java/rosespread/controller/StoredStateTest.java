package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import rosespread.audit.AuditLog;
import rosespread.drain.Drain;
import rosespread.settings.SettingsFile;
import rosespread.store.StoreSnapshot;
import rosespread.validation.TableChangeValidator;

/** A state directory that an earlier version wrote is restored unchanged. */
class StoredStateTest extends StoredStateFixture {
    private static final InetSocketAddress ANY_PORT =
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static final String REWRITTEN_TABLES = "tables-000004.log";

    @Test
    void resourceFilesHaveRecordedSizes() throws IOException {
        assertEquals(TABLES_BYTES, resource("v1/" + TABLES).length);
        assertEquals(AUDIT_BYTES, resource("v1/" + AUDIT).length);
    }

    @Test
    void restoresTablesVersionsAndPins() throws IOException {
        StoreSnapshot snapshot = restore();
        assertEquals("95ab53fcb8a899b2", Long.toHexString(snapshot.layout()));
        assertEquals(text("restored.txt"), describeTables(snapshot));
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
                describeDrains(restore().drains()));
    }

    private static List<String> describeDrains(List<Drain> drains) {
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
    void rewritesRestoredStateAsRecorded() throws IOException {
        restore();
        assertEquals(
                text("rewritten-" + REWRITTEN_TABLES), Files.readString(file(REWRITTEN_TABLES)));
        assertFalse(Files.exists(file(TABLES)));
        StoreSnapshot again = restore();
        assertEquals(text("restored.txt"), describeTables(again));
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

    /** Starts a complete controller. No node is listed, so that no weight changes. */
    @Test
    void controllerContinuesFromStoredState() throws Exception {
        try (Controller controller =
                new Controller(
                        "c", folder, Controller.ROUTING_POLICY, new TableChangeValidator())) {
            controller.start(ANY_PORT);
            assertEquals("", controller.settingsFault());
            assertEquals(2, controller.settings().orElseThrow().revision());
            Controller.Applied applied = controller.apply("not read", "x", "settings-2", -1);
            assertTrue(applied.done());
            assertEquals(2, applied.inForce().orElseThrow().revision());
            assertEquals(
                    List.of(
                            "1 PINNED 6 7aef3e81f7c40890 6",
                            "2 RELEASING 8 5bac19e3d9367829 8",
                            "3 PINNED 5 599cf9e6ebaa9fa0 5"),
                    controller.status().tables().stream().map(StoredStateTest::describe).toList());
            assertEquals(
                    Set.of(
                            "n1 true 1 ana",
                            "n2 false 3 ana",
                            "n4 false 5 unnamed",
                            "n5 true 4 ana"),
                    new TreeSet<>(
                            controller.drains().stream()
                                    .map(
                                            d ->
                                                    d.name() + " " + d.on() + " " + d.stamp() + " "
                                                            + d.by())
                                    .toList()));
            DrainResult again =
                    controller.drain(new DrainRequest("n2", true, "bo", "drain-n2", -1, false));
            assertEquals(DrainResult.Kind.REPEATED, again.kind());
            assertEquals(
                    List.of("5d8619fdc4715e 1.0 0.25", "6a284bbb7df2b3a6 1.0 0.5"),
                    controller.difference(3, 1, 2).orElseThrow().lines().stream()
                            .map(c -> c.node() + " " + c.before() + " " + c.after())
                            .toList());
        }
    }

    private static String describe(ControllerStatus.Table table) {
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
    void verifiesAndContinuesAuditChain() throws IOException {
        AuditLog.Verification verification = AuditLog.verify(file(AUDIT));
        assertEquals(new AuditLog.Verification(AUDIT_LINES, AUDIT_CHAIN, ""), verification);
        try (AuditLog log = new AuditLog(file(AUDIT), () -> WALL_MILLIS)) {
            assertTrue(log.write(auditedAction()));
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

    @Test
    void auditEntriesNameOperatorRequestAndOutcome() throws IOException {
        List<String> completedActions = new ArrayList<>();
        for (String line : Files.readAllLines(file(AUDIT))) {
            JsonNode entry = new ObjectMapper().readTree(line);
            if (!entry.path("outcome").asText().equals("asked")) {
                completedActions.add(
                        entry.path("n").asLong()
                                + " "
                                + entry.path("who").asText()
                                + " "
                                + entry.path("what").asText()
                                + " "
                                + entry.path("call").asText()
                                + " "
                                + entry.path("outcome").asText().substring(0, 3));
            }
        }
        assertEquals(14, completedActions.size());
        assertEquals("2 ana PUT /v1/settings settings-1 200", completedActions.get(0));
        assertEquals("4 bo PUT /v1/settings settings-bad 422", completedActions.get(1));
        assertEquals(
                "10 bo POST /v1/tables/2/rollback?version=2 back-2 200", completedActions.get(4));
        assertEquals("20 bo POST /v1/nodes/n4/drain drain-n4 412", completedActions.get(9));
        assertEquals(
                "28 unnamed POST /v1/nodes/n4/undrain own-1796224305712-3 200",
                completedActions.get(13));
    }
}
