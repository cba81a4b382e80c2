package rosespread.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.drain.Drains;
import rosespread.table.History;
import rosespread.table.Hold;
import rosespread.table.TableImage;
import rosespread.table.TableVersion;

/**
 * Brings an image up to date with the entries after it, and checks that each fits the ones before.
 */
public final class Replay {
    private static final class Table {
        History history;
        Hold hold = Hold.NONE;
        long to;
        final TreeMap<NodeId, Double> pending = new TreeMap<>();
    }

    private final TreeMap<TableId, Table> tables = new TreeMap<>();
    private final Drains drains = new Drains();
    private long layout;

    /** Begins with an image. */
    public Replay(Image image) {
        layout = image.layout();
        image.tables().forEach(this::begin);
        image.drains().forEach(drains::take);
    }

    void begin(TableImage image) {
        Table table = new Table();
        table.history = new History(image);
        table.hold = image.hold();
        table.to = image.to();
        table.pending.putAll(image.pending());
        tables.put(image.current().table(), table);
    }

    void layout(long next) {
        layout = next;
    }

    /** Takes an entry that was made in this process. */
    public void take(Entry entry) throws StoreException {
        if (entry instanceof Entry.Committed c) {
            TableVersion v = c.version();
            committed(
                    v.table(),
                    v.number(),
                    v.parent(),
                    v.cause(),
                    v.atMillis(),
                    v.changes(),
                    v.digest());
        } else if (entry instanceof Entry.Holding h) {
            hold(h);
        } else if (entry instanceof Entry.Drained d) {
            drains.take(d.word());
        } else if (entry instanceof Entry.LaidOut l) {
            layout = l.layout();
            tables.values()
                    .forEach(
                            table -> {
                                table.history.forget();
                                table.hold = Hold.NONE;
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
            table.history = new History(id, parent);
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
        TableVersion next = before.after(number, changes, cause, atMillis);
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

    private void hold(Entry.Holding held) throws StoreException {
        Table table = tables.get(held.table());
        if (table == null) {
            throw new StoreException(
                    "table " + held.table().value() + " is held but has no version");
        }
        table.hold = held.hold();
        table.to = held.to();
        table.pending.clear();
        table.pending.putAll(held.pending());
        if (held.to() > 0) {
            table.history.keep(held.to(), true);
        }
    }

    public Image image() {
        List<TableImage> all = new ArrayList<>();
        tables.values().forEach(t -> t.history.image(t.hold, t.to, t.pending).ifPresent(all::add));
        return new Image(layout, all, drains.all());
    }
}
