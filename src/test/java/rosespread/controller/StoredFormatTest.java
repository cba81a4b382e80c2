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

/** What is stored and exchanged now has the form that it had. */
class StoredFormatTest extends StoredStateFixture {
    private static final NodeId LOW = new NodeId(3);
    private static final NodeId HIGH = new NodeId(-2);

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
                TableVersion.full(
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
