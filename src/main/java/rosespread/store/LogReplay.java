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
 * Brings an image up to date with the entries after it, and checks that each fits the ones before.
 */
public final class LogReplay {
    private static final class Table {
        VersionHistory history;
        PinState hold = PinState.NONE;
        long to;
        final TreeMap<NodeId, Double> pending = new TreeMap<>();
    }

    private final TreeMap<TableId, Table> tables = new TreeMap<>();
    private final DrainRegistry drains = new DrainRegistry();
    private long layout;

    /** Begins with an image. */
    public LogReplay(StoreSnapshot image) {
        layout = image.layout();
        image.tables().forEach(this::begin);
        image.drains().forEach(drains::apply);
    }

    void begin(TableSnapshot image) {
        Table table = new Table();
        table.history = new VersionHistory(image);
        table.hold = image.pinState();
        table.to = image.rollbackTarget();
        table.pending.putAll(image.pending());
        tables.put(image.current().table(), table);
    }

    void layout(long next) {
        layout = next;
    }

    /** Takes an entry that was made in this process. */
    public void apply(LogEntry entry) throws StoreException {
        if (entry instanceof LogEntry.VersionCommitted c) {
            TableVersion v = c.version();
            committed(
                    v.table(),
                    v.number(),
                    v.parent(),
                    v.cause(),
                    v.atMillis(),
                    v.changes(),
                    v.digest());
        } else if (entry instanceof LogEntry.PinChanged h) {
            hold(h);
        } else if (entry instanceof LogEntry.DrainChanged d) {
            drains.apply(d.drain());
        } else if (entry instanceof LogEntry.LayoutChanged l) {
            layout = l.layout();
            tables.values()
                    .forEach(
                            table -> {
                                table.history.dropAllButCurrent();
                                table.hold = PinState.NONE;
                                table.to = 0;
                                table.pending.clear();
                            });
        }
    }

    /** A version by what it changed of its parent. */
    void committed(
            TableId id,
            long number,
            long parent,
            TableVersion.Cause cause,
            long atMillis,
            Map<NodeId, Double> changes,
            long digest)
            throws StoreException {
        Table table = tables.computeIfAbsent(id, t -> new Table());
        if (table.history == null) {
            table.history = new VersionHistory(id, parent);
        }
        TableVersion before = table.history.current();
        if (before.number() != parent || number <= parent) {
            throw new StoreException(
                    "table "
                            + id.value()
                            + ": version "
                            + number
                            + " after "
                            + parent
                            + " does not follow version "
                            + before.number());
        }
        TableVersion next = before.successor(number, changes, cause, atMillis);
        if (next.digest() != digest) {
            throw new StoreException(
                    "table "
                            + id.value()
                            + ": version "
                            + number
                            + " has digest "
                            + Long.toHexString(next.digest())
                            + ", written was "
                            + Long.toHexString(digest));
        }
        table.history.add(next);
        if (cause == TableVersion.Cause.ROLLBACK) {
            table.pending.keySet().removeAll(changes.keySet());
        }
    }

    private void hold(LogEntry.PinChanged held) throws StoreException {
        Table table = tables.get(held.table());
        if (table == null) {
            throw new StoreException(
                    "table " + held.table().value() + " is held but has no version");
        }
        table.hold = held.state();
        table.to = held.rollbackTarget();
        table.pending.clear();
        table.pending.putAll(held.pending());
        if (held.rollbackTarget() > 0) {
            table.history.keep(held.rollbackTarget(), true);
        }
    }

    public StoreSnapshot snapshot() {
        List<TableSnapshot> all = new ArrayList<>();
        tables.values().forEach(t -> t.history.snapshot(t.hold, t.to, t.pending).ifPresent(all::add));
        return new StoreSnapshot(layout, all, drains.all());
    }
}
