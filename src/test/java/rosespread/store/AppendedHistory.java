package rosespread.store;

import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.drain.Drain;
import rosespread.table.PinState;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;

/** A random history of entries, as a controller appends them, and the snapshot after them. */
final class AppendedHistory {
    private static final int TABLES = 3;

    private final TreeMap<TableId, VersionHistory> histories = new TreeMap<>();
    private final LogReplay model = new LogReplay(StoreSnapshot.EMPTY);
    private final Random random;
    private long stamp;

    AppendedHistory(Random random) {
        this.random = random;
    }

    Random random() {
        return random;
    }

    /** Returns the snapshot that a store must restore after all entries so far. */
    StoreSnapshot snapshot() {
        return model.snapshot();
    }

    /** Returns the next entry, as of a wall-clock time. */
    LogEntry next(long wallMillis) throws StoreException {
        LogEntry entry = randomEntry(wallMillis);
        model.apply(entry);
        return entry;
    }

    private LogEntry randomEntry(long wallMillis) {
        TableId table = new TableId(1 + random.nextInt(TABLES));
        VersionHistory history = histories.computeIfAbsent(table, id -> new VersionHistory(id, 0));
        int kind = random.nextInt(12);
        if (kind == 0 && !history.isEmpty()) {
            return pin(table, random.nextBoolean() ? 0 : history.versions().get(0).number());
        }
        if (kind == 2) {
            return drain(wallMillis);
        }
        if (kind == 1 && !history.isEmpty()) {
            return new LogEntry.VersionCommitted(
                    history.renumber(history.current().number() + 1024, wallMillis));
        }
        return new LogEntry.VersionCommitted(commit(history, wallMillis));
    }

    private static LogEntry pin(TableId table, long target) {
        return target > 0
                ? new LogEntry.PinChanged(
                        table,
                        PinState.PINNED,
                        target,
                        Map.of(new NodeId(3), 0.25, new NodeId(-1), 0.0))
                : new LogEntry.PinChanged(table, PinState.RELEASING, 0, Map.of());
    }

    private LogEntry drain(long wallMillis) {
        stamp++;
        return new LogEntry.DrainChanged(
                new Drain(
                        new NodeId(random.nextInt(4)),
                        "n",
                        random.nextBoolean(),
                        stamp,
                        "o",
                        "call-" + stamp,
                        wallMillis));
    }

    private TableVersion commit(VersionHistory history, long wallMillis) {
        TableVersion before = history.current();
        TableVersion next = before;
        while (next == before) {
            next =
                    history.commit(
                            Map.of(
                                    new NodeId(~(long) random.nextInt(40) << 40),
                                    random.nextDouble(),
                                    new NodeId(random.nextInt(5)),
                                    random.nextInt(3) / 2.0),
                            TableVersion.Cause.MODULE,
                            wallMillis);
        }
        return next;
    }
}
