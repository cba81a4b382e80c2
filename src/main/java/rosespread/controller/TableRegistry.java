package rosespread.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.drain.Drain;
import rosespread.drain.DrainRegistry;
import rosespread.store.LogEntry;
import rosespread.store.StoreSnapshot;
import rosespread.store.TableLog;
import rosespread.table.PinState;
import rosespread.table.TableSnapshot;
import rosespread.table.TableVersion;
import rosespread.table.VersionHistory;

/**
 * All tables with their versions and pins, and the drains that operators ordered. It outlives the
 * policy, and through its log the process: every change is appended before a message can tell of
 * it, and {@link #lastSequence} is the entry that such a message has to wait for.
 *
 * <p>Restored before the event loop starts; from then on owned by the event-loop thread.
 */
public final class TableRegistry {
    /**
     * Version numbers jump to a multiple of this beyond what a proxy holds, so that the next proxy
     * with the same past needs no further jump.
     */
    private static final long NUMBER_JUMP = 1024;

    /** No controller gets this far; a proxy that claims to hold more is mistaken. */
    private static final long MAX_VERSION_NUMBER = 1L << 53;

    private final TableLog log;
    private final TreeMap<TableId, ManagedTable> tables = new TreeMap<>();

    /** The numbers after which tables that do not exist yet begin, as proxies hold them. */
    private final TreeMap<TableId, Long> minimumNumbers = new TreeMap<>();

    private final DrainRegistry drains = new DrainRegistry();
    private long layout;
    private long lastSequence;

    /** An empty registry that appends to the log. */
    public TableRegistry(TableLog log) {
        this.log = log;
    }

    /** Takes over what was persisted; called once, before anything is changed. */
    public void restore(StoreSnapshot snapshot) {
        layout = snapshot.layout();
        snapshot.drains().forEach(drains::apply);
        for (TableSnapshot persisted : snapshot.tables()) {
            ManagedTable table = ManagedTable.restored(persisted);
            tables.put(table.id(), table);
        }
        policyRestarted();
    }

    /** A new policy starts: each table stays as it is until the policy sets a weight of it. */
    void policyRestarted() {
        tables.values().forEach(ManagedTable::awaitPolicy);
    }

    /**
     * Sets the digest of what tables are laid out by. If it differs from the last one, only the
     * numbers go on: pins and earlier versions are dropped.
     */
    void setLayout(long digest) {
        if (digest == layout) {
            return;
        }
        layout = digest;
        lastSequence = log.append(new LogEntry.LayoutChanged(digest));
        tables.values().forEach(ManagedTable::layoutChanged);
    }

    /** Returns the table, made if there was none. */
    ManagedTable table(TableId id) {
        return tables.computeIfAbsent(
                id,
                key ->
                        new ManagedTable(
                                key,
                                new VersionHistory(key, minimumNumbers.getOrDefault(key, 0L))));
    }

    /** Returns the table if there is one. */
    Optional<ManagedTable> existing(TableId id) {
        return Optional.ofNullable(tables.get(id));
    }

    /** Returns a live view of all tables, in the order of their numbers. */
    Collection<ManagedTable> tables() {
        return Collections.unmodifiableCollection(tables.values());
    }

    /** Returns the log's sequence number of the last entry appended. */
    long lastSequence() {
        return lastSequence;
    }

    TableLog log() {
        return log;
    }

    /** Commits changes, weight 0 for a removed entry; the version stays if nothing changes. */
    TableVersion commit(
            ManagedTable table,
            Map<NodeId, Double> delta,
            TableVersion.Cause cause,
            long wallMillis) {
        TableVersion before = table.current();
        TableVersion next = table.history().commit(delta, cause, wallMillis);
        if (next != before) {
            lastSequence = log.append(new LogEntry.VersionCommitted(next));
        }
        return next;
    }

    /**
     * Pins a table, releases it, or lets it follow the policy.
     *
     * @param target the version that it is rolled back to, 0 if none
     * @param pending the changes that lead there
     */
    void setPin(ManagedTable table, PinState pin, long target, Map<NodeId, Double> pending) {
        boolean lasting = table.setPin(pin, target, pending);
        if (lasting && !table.history().isEmpty()) {
            lastSequence =
                    log.append(
                            new LogEntry.PinChanged(
                                    table.id(), pin.persisted(), target, new TreeMap<>(pending)));
        }
    }

    /**
     * Raises a table's number above one that a proxy holds, of another controller or of a past that
     * was not persisted, so that versions never go backwards for it.
     */
    void raiseNumberAbove(TableId id, long held, long wallMillis) {
        ManagedTable table = tables.get(id);
        long known = table == null ? minimumNumbers.getOrDefault(id, 0L) : table.current().number();
        if (held > MAX_VERSION_NUMBER || held <= known) {
            return;
        }
        long number = (held / NUMBER_JUMP + 1) * NUMBER_JUMP;
        minimumNumbers.put(id, number);
        if (table == null) {
            return;
        }
        if (table.history().isEmpty()) {
            table.startNumberingAfter(number);
        } else {
            TableVersion renumbered = table.history().renumber(number, wallMillis);
            lastSequence = log.append(new LogEntry.VersionCommitted(renumbered));
        }
    }

    DrainRegistry drains() {
        return drains;
    }

    /** Applies and appends a drain or its end; returns whether it changes anything. */
    boolean applyDrain(Drain drain) {
        boolean changes = drains.apply(drain);
        lastSequence = log.append(new LogEntry.DrainChanged(drain));
        return changes;
    }

    /** Returns everything that has to be persisted, for a log that begins a new file. */
    StoreSnapshot snapshot() {
        List<TableSnapshot> persisted = new ArrayList<>();
        for (ManagedTable table : tables.values()) {
            table.history()
                    .snapshot(table.pin(), table.rollbackTarget(), table.pending())
                    .ifPresent(persisted::add);
        }
        return new StoreSnapshot(layout, persisted, drains.all());
    }
}
