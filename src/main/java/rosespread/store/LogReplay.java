package rosespread.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.drain.DrainRegistry;
import rosespread.table.PinState;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;

/**
 * Applies log entries to the snapshot that precedes them, and checks that each entry is consistent
 * with the previous ones. Not thread-safe.
 */
public final class LogReplay {
    /** The state of one table after the entries applied so far. */
    private static final class ReplayedTable {
        private final VersionHistory history;
        private final TreeMap<NodeId, Double> pending = new TreeMap<>();
        private PinState pinState = PinState.NONE;
        private long rollbackTarget;

        ReplayedTable(VersionHistory history) {
            this.history = history;
        }

        void pin(PinState state, long target, Map<NodeId, Double> changes) {
            pinState = state;
            rollbackTarget = target;
            pending.clear();
            pending.putAll(changes);
        }
    }

    private final TreeMap<TableId, ReplayedTable> tables = new TreeMap<>();
    private final DrainRegistry drains = new DrainRegistry();
    private long layout;

    /** Creates a replay that starts from a snapshot. */
    public LogReplay(StoreSnapshot snapshot) {
        layout = snapshot.layout();
        snapshot.tables().forEach(this::restore);
        snapshot.drains().forEach(drains::apply);
    }

    private void restore(TableSnapshot snapshot) {
        ReplayedTable table = new ReplayedTable(new VersionHistory(snapshot));
        table.pin(snapshot.pinState(), snapshot.rollbackTarget(), snapshot.pending());
        tables.put(snapshot.current().table(), table);
    }

    /**
     * Applies an entry.
     *
     * @throws StoreException if the entry is not consistent with the previous ones; the message
     *     says why
     */
    public void apply(LogEntry entry) throws StoreException {
        if (entry instanceof LogEntry.VersionCommitted committed) {
            apply(VersionDelta.of(committed.version()));
        } else if (entry instanceof LogEntry.PinChanged changed) {
            applyPin(changed);
        } else if (entry instanceof LogEntry.DrainChanged changed) {
            drains.apply(changed.drain());
        } else if (entry instanceof LogEntry.LayoutChanged changed) {
            applyLayout(changed);
        }
    }

    /** Applies the changes of a version; see {@link #apply(LogEntry)}. */
    void apply(VersionDelta delta) throws StoreException {
        ReplayedTable table =
                tables.computeIfAbsent(
                        delta.table(),
                        id -> new ReplayedTable(new VersionHistory(id, delta.parent())));
        TableVersion current = table.history.current();
        if (current.number() != delta.parent() || delta.number() <= delta.parent()) {
            throw new StoreException(
                    "table "
                            + delta.table().value()
                            + ": version "
                            + delta.number()
                            + " with parent "
                            + delta.parent()
                            + " does not follow current version "
                            + current.number());
        }
        TableVersion next =
                current.successor(delta.number(), delta.changes(), delta.cause(), delta.atMillis());
        if (next.digest() != delta.digest()) {
            throw StoreException.digestMismatch(next, Long.toHexString(delta.digest()));
        }
        table.history.add(next);
        if (delta.cause() == TableVersion.Cause.ROLLBACK) {
            table.pending.keySet().removeAll(delta.changes().keySet());
        }
    }

    private void applyPin(LogEntry.PinChanged pin) throws StoreException {
        ReplayedTable table = tables.get(pin.table());
        if (table == null) {
            throw new StoreException(
                    "table " + pin.table().value() + " has a pin change but no version");
        }
        table.pin(pin.state(), pin.rollbackTarget(), pin.pending());
        if (pin.rollbackTarget() > 0) {
            table.history.retain(pin.rollbackTarget());
        }
    }

    private void applyLayout(LogEntry.LayoutChanged changed) {
        layout = changed.layout();
        for (ReplayedTable table : tables.values()) {
            table.history.dropAllButCurrent();
            table.pin(PinState.NONE, 0, Map.of());
        }
    }

    /** Returns the snapshot with all entries applied so far; later entries do not change it. */
    public StoreSnapshot snapshot() {
        List<TableSnapshot> snapshots = new ArrayList<>();
        for (ReplayedTable table : tables.values()) {
            table.history
                    .snapshot(table.pinState, table.rollbackTarget, table.pending)
                    .ifPresent(snapshots::add);
        }
        return new StoreSnapshot(layout, snapshots, drains.snapshot());
    }
}
