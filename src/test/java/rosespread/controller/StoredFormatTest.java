package rosespread.controller;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.audit.AuditLog;
import rosespread.drain.Drain;
import rosespread.settings.SettingsFile;
import rosespread.store.LogEntry;
import rosespread.store.StoreSnapshot;
import rosespread.store.TableStore;
import rosespread.table.PinState;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;

/** Stored files and drains exchanged between controllers keep their recorded format. */
class StoredFormatTest extends StoredStateFixture {
    private static final NodeId LOW_NODE = new NodeId(3);
    private static final NodeId HIGH_NODE = new NodeId(-2);

    /** Writes each kind of log entry, with each version cause and each pin state. */
    @Test
    void logEntriesKeepRecordedFormat(@TempDir Path empty) throws IOException {
        TableVersion version = TableVersion.empty(new TableId(7), 4);
        List<LogEntry> entries = new ArrayList<>(List.of(new LogEntry.LayoutChanged(-3)));
        double weight = 1;
        for (TableVersion.Cause cause : TableVersion.Cause.values()) {
            version =
                    version.with(
                            Map.of(LOW_NODE, weight, HIGH_NODE, weight / 4),
                            cause,
                            WALL_MILLIS + (long) weight);
            entries.add(new LogEntry.VersionCommitted(version));
            weight++;
        }
        for (PinState pinState : PinState.values()) {
            entries.add(
                    new LogEntry.PinChanged(
                            new TableId(7),
                            pinState,
                            pinState == PinState.PINNED ? 5 : 0,
                            pinState == PinState.PINNED
                                    ? Map.of(LOW_NODE, 0.25, HIGH_NODE, 0.0)
                                    : Map.of()));
        }
        entries.add(new LogEntry.DrainChanged(drain()));
        try (TableStore store = newStore(empty)) {
            store.open();
            entries.forEach(store::append);
            await().until(() -> store.durable() == entries.size());
        }
        assertEquals(text("entries.log"), Files.readString(empty.resolve("tables-000001.log")));
    }

    private static Drain drain() {
        return new Drain(LOW_NODE, "node-\u00fc", true, 41, "eve", "call-41", WALL_MILLIS);
    }

    @Test
    void snapshotKeepsRecordedFormat(@TempDir Path empty) throws IOException {
        TableVersion full =
                TableVersion.full(
                        new TableId(7),
                        5,
                        TableVersion.Cause.REJOIN,
                        WALL_MILLIS,
                        2,
                        Map.of(LOW_NODE, 1.5, HIGH_NODE, 0.1));
        TableVersion next =
                full.with(Map.of(HIGH_NODE, 0.0), TableVersion.Cause.OPERATOR, WALL_MILLIS + 1);
        TableSnapshot table =
                new TableSnapshot(
                        List.of(full, next),
                        Set.of(5L),
                        PinState.PINNED,
                        5,
                        Map.of(HIGH_NODE, 0.1));
        try (TableStore store = newStore(empty)) {
            store.open();
            store.writeSnapshot(new StoreSnapshot(-3, List.of(table), List.of(drain())));
            await().until(() -> Files.exists(empty.resolve("tables-000002.log")));
        }
        assertEquals(text("image.log"), Files.readString(empty.resolve("tables-000002.log")));
    }

    @Test
    void settingsFileKeepsRecordedFormat(@TempDir Path empty) throws IOException {
        new SettingsFile(empty)
                .save(
                        new SettingsFile.Saved(
                                "{\"zones\":[\"a\"],\"seed\":7}",
                                12,
                                "eve",
                                "call-9",
                                WALL_MILLIS));
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
    void auditLineKeepsRecordedFormat(@TempDir Path empty) throws IOException {
        try (AuditLog log = new AuditLog(empty.resolve(AUDIT), () -> WALL_MILLIS)) {
            log.write(auditedAction());
        }
        assertEquals(
                "{\"n\":1,\"at\":1700000000000,\"who\":\"eve\",\"from\":\"control.example\",\"what\":"
                        + "\"POST /v1/tables/1/release\",\"call\":\"free-1\",\"outcome\":\"200 done\",\"chai"
                        + "n\":\"ec3c03fd9187e5f464438fa441ce206c2c27b20b9efe90f5010b173ef0061fdf\"}"
                        + "\n",
                Files.readString(empty.resolve(AUDIT)));
    }

    @Test
    void drainKeepsFormatExchangedByControllers() throws IOException {
        ObjectMapper json = new ObjectMapper();
        assertEquals(
                "{\"words\":[{\"node\":\"3\",\"name\":\"node-\u00fc\",\"on\":true,\"stamp\":41,"
                        + "\"by\":\"eve\",\"call\":\"call-41\",\"at\":1700000000000}]}",
                json.writeValueAsString(DrainJson.write(List.of(drain()))));
    }
}
