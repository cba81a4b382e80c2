package rosespread.controller;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;
import rosespread.api.NodeId;
import rosespread.audit.AuditLog;
import rosespread.store.LogOutput;
import rosespread.store.StoreSnapshot;
import rosespread.store.TableStore;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;

/**
 * Copies a state directory that an earlier version wrote: the test resource {@code stored/v1},
 * which a complete process wrote over two restarts. Expected values are the recorded ones and must
 * not be recomputed.
 */
abstract class StoredStateFixture {
    static final String TABLES = "tables-000003.log";
    static final String AUDIT = "audit.log";
    static final String SETTINGS = "settings.json";
    static final int AUDIT_LINES = 28;
    static final int TABLES_BYTES = 4699;
    static final int AUDIT_BYTES = 6018;
    static final String AUDIT_CHAIN =
            "5703763dcae16b29c54b1fcdbf554e1a6a63fcecd9c3d012e4123450beca3591";
    static final long WALL_MILLIS = 1_700_000_000_000L;

    private static final Logger ROOT =
            (Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);

    private final ListAppender<ILoggingEvent> logged = new ListAppender<>();

    @TempDir Path folder;

    @BeforeEach
    void copyStoredFiles() throws IOException {
        for (String name : List.of(TABLES, AUDIT, SETTINGS)) {
            Files.write(folder.resolve(name), resource("v1/" + name));
        }
        logged.start();
        ROOT.addAppender(logged);
    }

    @AfterEach
    void detachAppender() {
        ROOT.detachAppender(logged);
    }

    /** Returns the logged warnings and errors that name the folder. */
    List<String> loggedWarnings() {
        return List.copyOf(logged.list).stream()
                .filter(e -> e.getLevel().isGreaterOrEqual(Level.WARN))
                .map(e -> e.getLevel() + " " + e.getFormattedMessage())
                .filter(text -> text.contains(folder.toString()))
                .toList();
    }

    static byte[] resource(String name) throws IOException {
        try (InputStream in =
                StoredStateFixture.class.getResourceAsStream("/rosespread/stored/" + name)) {
            return in.readAllBytes();
        }
    }

    static String text(String name) throws IOException {
        return new String(resource(name), StandardCharsets.UTF_8);
    }

    Path file(String name) {
        return folder.resolve(name);
    }

    void truncate(String name, int bytes) throws IOException {
        byte[] content = Files.readAllBytes(file(name));
        Files.write(file(name), Arrays.copyOf(content, content.length - bytes));
    }

    void append(String name, String garbage) throws IOException {
        Files.writeString(file(name), garbage, StandardOpenOption.APPEND);
    }

    TableStore newStore(Path directory) {
        return new TableStore(directory, LogOutput.DISK, () -> WALL_MILLIS, () -> {});
    }

    StoreSnapshot restore() throws IOException {
        try (TableStore store = newStore(folder)) {
            return store.open();
        }
    }

    /** Describes each table and each of its versions on a line of its own, with all weights. */
    static String describeTables(StoreSnapshot snapshot) {
        StringBuilder description = new StringBuilder();
        for (TableSnapshot table : snapshot.tables()) {
            description
                    .append(table.pinState().name())
                    .append(" to ")
                    .append(table.rollbackTarget())
                    .append(" kept ")
                    .append(table.retained())
                    .append(" pending ")
                    .append(weightsByHexId(table.pending()))
                    .append('\n');
            for (TableVersion v : table.versions()) {
                description
                        .append("  ")
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
                        .append(weightsByHexId(v.entries()))
                        .append('\n');
            }
        }
        return description.toString();
    }

    static Map<String, Double> weightsByHexId(Map<NodeId, Double> entries) {
        Map<String, Double> weights = new TreeMap<>();
        entries.forEach((node, weight) -> weights.put(Long.toHexString(node.value()), weight));
        return weights;
    }

    static AuditLog.Act auditedAction() {
        return new AuditLog.Act(
                "eve", "control.example", "POST /v1/tables/1/release", "free-1", "200 done");
    }
}
