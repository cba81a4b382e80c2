package rosespread.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.drain.Drain;
import rosespread.drain.DrainRegistry;
import rosespread.store.LogEntry;
import rosespread.store.StoreSnapshot;
import rosespread.store.TableLog;
import rosespread.table.PinState;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;
import rosespread.validation.TableChangeValidator;

/**
 * All tables as they were committed, and how they are held. It outlives the module, and through its
 * log the process: each change is appended before any message can tell of it.
 */
public final class TableRegistry {
    /**
     * Numbers jump to a multiple of this beyond what a proxy holds, so that the next proxy of the
     * same past needs no further jump.
     */
    private static final long JUMP = 1024;

    /** No conductor comes so far; what a proxy says beyond is a mistake. */
    private static final long NUMBER_MOST = 1L << 53;

    /** A table beside its versions: what the module wants of it and how it is held. */
    static final class Table {
        final TableId id;
        VersionHistory history;
        final TreeMap<NodeId, Double> wanted = new TreeMap<>();
        final Set<MethodId> methods = new TreeSet<>();
        final Set<ZoneId> homes = new TreeSet<>();

        /**
         * What a pinned table still has to send; a newer change of a line overwrites the pending
         * one.
         */
        final TreeMap<NodeId, Double> pending = new TreeMap<>();

        PinState hold = PinState.NONE;

        /** The version that it goes back to; 0 if it has arrived or goes to none. */
        long to;

        /** Whether the module that runs now has not ordered any line of it yet. */
        boolean awaited;

        /** The number that proxies which follow its deltas hold. */
        long sent;

        List<TableChangeValidator.Refusal> refusals = List.of();
        final TreeMap<TableChangeValidator.Reason, Long> refused = new TreeMap<>();
        long steppedAt = Long.MIN_VALUE / 2;

        /** What the gate knows of the lines that are out. */
        final TableChangeValidator.AcceptedTotals standing = new TableChangeValidator.AcceptedTotals();

        /** When, and by which facts, a table that is held was looked at last. */
        long lookedAt = Long.MIN_VALUE / 2;

        long lookedBy = -1;

        Table(TableId id, VersionHistory history) {
            this.id = id;
            this.history = history;
            this.sent = history.current().number();
        }

        TableVersion out() {
            return history.current();
        }
    }

    private final TableLog log;
    private final TreeMap<TableId, Table> tables = new TreeMap<>();

    /** Numbers that proxies hold of tables that are not there yet. */
    private final TreeMap<TableId, Long> floors = new TreeMap<>();

    private final DrainRegistry drains = new DrainRegistry();
    private long layout;
    private long last;

    public TableRegistry(TableLog log) {
        this.log = log;
    }

    /** Begins with what was kept. */
    public void restore(StoreSnapshot image) {
        layout = image.layout();
        image.drains().forEach(drains::apply);
        for (TableSnapshot kept : image.tables()) {
            Table table = new Table(kept.current().table(), new VersionHistory(kept));
            table.hold = kept.pinState();
            table.to = kept.rollbackTarget();
            table.pending.putAll(kept.pending());
            tables.put(table.id, table);
        }
        moduleBegins();
    }

    /** A fresh module begins: tables stay as they are until it orders lines of them. */
    void moduleBegins() {
        for (Table table : tables.values()) {
            table.wanted.clear();
            table.methods.clear();
            table.homes.clear();
            table.history.admissionLimits().clear();
            table.standing.forget();
            table.refusals = List.of();
            table.hold = table.hold.lasting();
            table.awaited = true;
        }
    }

    /**
     * Tables are laid out by this from now on; if that is another way, numbers go on and nothing
     * else.
     */
    void layout(long next) {
        if (next == layout) {
            return;
        }
        layout = next;
        last = log.append(new LogEntry.LayoutChanged(next));
        for (Table table : tables.values()) {
            table.history.dropAllButCurrent();
            table.hold = PinState.NONE;
            table.to = 0;
            table.pending.clear();
        }
    }

    Table table(TableId id) {
        return tables.computeIfAbsent(
                id, t -> new Table(t, new VersionHistory(t, floors.getOrDefault(t, 0L))));
    }

    /** The table if there is one. */
    Table find(TableId id) {
        return tables.get(id);
    }

    Collection<Table> tables() {
        return Collections.unmodifiableCollection(tables.values());
    }

    /** The sequence of the last thing that was appended. */
    long last() {
        return last;
    }

    TableLog log() {
        return log;
    }

    /** Commits a change, if it truly is one. */
    TableVersion commit(
            Table table, Map<NodeId, Double> delta, TableVersion.Cause cause, long wallMillis) {
        TableVersion before = table.out();
        TableVersion next = table.history.commit(delta, cause, wallMillis);
        if (next != before) {
            last = log.append(new LogEntry.VersionCommitted(next));
        }
        return next;
    }

    /**
     * Holds a table or lets go of it; {@code pending} is what it has to change to come to {@code
     * to}.
     */
    void hold(Table table, PinState hold, long to, Map<NodeId, Double> pending) {
        table.pending.clear();
        table.pending.putAll(pending);
        boolean lasts = to > 0 || hold.lasting() != table.hold.lasting() || to != table.to;
        table.hold = hold;
        table.to = to;
        if (to > 0) {
            table.history.keep(to, true);
        }
        if (lasts && !table.history.isEmpty()) {
            last =
                    log.append(
                            new LogEntry.PinChanged(
                                    table.id, hold.lasting(), to, new TreeMap<>(pending)));
        }
    }

    /**
     * A proxy holds this number of a table, of another conductor or of a past that was not kept:
     * numbers go on beyond it, so that none goes backwards for it.
     */
    void met(TableId id, long held, long wallMillis) {
        Table table = tables.get(id);
        long known = table == null ? floors.getOrDefault(id, 0L) : table.out().number();
        if (held > NUMBER_MOST || held <= known) {
            return;
        }
        long number = (held / JUMP + 1) * JUMP;
        floors.put(id, number);
        if (table != null && table.history.isEmpty()) {
            VersionHistory fresh = new VersionHistory(id, number);
            fresh.admissionLimits().putAll(table.history.admissionLimits());
            table.history = fresh;
            table.sent = number;
        } else if (table != null) {
            last = log.append(new LogEntry.VersionCommitted(table.history.renumber(number, wallMillis)));
        }
    }

    DrainRegistry drains() {
        return drains;
    }

    /** Takes an operator's word on a node; tells whether it changes anything. */
    boolean take(Drain word) {
        boolean changes = drains.apply(word);
        last = log.append(new LogEntry.DrainChanged(word));
        return changes;
    }

    StoreSnapshot image() {
        List<TableSnapshot> all = new ArrayList<>();
        tables.values().forEach(t -> t.history.snapshot(t.hold, t.to, t.pending).ifPresent(all::add));
        return new StoreSnapshot(layout, all, drains.all());
    }
}
