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
 * Registry of all tables with their versions and pins, and of the drains that operators ordered. It
 * is kept when the policy restarts, and its log keeps it across restarts of the process: every
 * change is appended to the log before a message can depend on the change, and {@link
 * #lastSequence} is the sequence number of the entry that such a message has to wait for.
 *
 * <p>Restored before the event loop starts; from then on owned by the event-loop thread.
 */
public final class TableRegistry {
    /**
     * When a proxy holds a higher version of a table than the controller, the table's version
     * number is raised to the next multiple of this number above the proxy's. Other proxies that
     * hold versions of the same origin then need no further raise.
     */
    private static final long NUMBER_MULTIPLE = 1024;

    /**
     * Largest version number that is accepted from a proxy when a table's number is raised above
     * it; a larger number is ignored. No controller reaches larger numbers, so a proxy that reports
     * one is faulty.
     */
    private static final long MAX_VERSION_NUMBER = 1L << 53;

    private final TableLog log;
    private final TreeMap<TableId, ManagedTable> tables = new TreeMap<>();

    /**
     * Numbers above which the version numbers of tables that do not exist yet start, as proxies
     * already hold versions of these tables.
     */
    private final TreeMap<TableId, Long> minimumNumbers = new TreeMap<>();

    private final DrainRegistry drains = new DrainRegistry();
    private long layout;
    private long lastSequence;

    /** Creates an empty registry that appends its changes to the log. */
    public TableRegistry(TableLog log) {
        this.log = log;
    }

    /** Restores the persisted state; called once, before the first change. */
    public void restore(StoreSnapshot snapshot) {
        layout = snapshot.layout();
        snapshot.drains().forEach(drains::apply);
        for (TableSnapshot persisted : snapshot.tables()) {
            ManagedTable table = ManagedTable.restored(persisted);
            tables.put(table.id(), table);
        }
        policyRestarted();
    }

    /**
     * Handles that a new policy starts: each table stays as it is until the policy sets one of the
     * table's weights.
     */
    void policyRestarted() {
        tables.values().forEach(ManagedTable::awaitPolicy);
    }

    /**
     * Sets the digest of the settings that determine the layout of tables. If it differs from the
     * last digest, pins and earlier versions are dropped; version numbers and current weights are
     * kept.
     */
    void setLayout(long digest) {
        if (digest == layout) {
            return;
        }
        layout = digest;
        lastSequence = log.append(new LogEntry.LayoutChanged(digest));
        tables.values().forEach(ManagedTable::layoutChanged);
    }

    /** Returns the table; creates it if it does not exist. */
    ManagedTable table(TableId id) {
        return tables.computeIfAbsent(
                id,
                key ->
                        new ManagedTable(
                                key,
                                new VersionHistory(key, minimumNumbers.getOrDefault(key, 0L))));
    }

    /** Returns the table, empty if it does not exist. */
    Optional<ManagedTable> existing(TableId id) {
        return Optional.ofNullable(tables.get(id));
    }

    /** Returns a live view of all tables, in the order of their ids. */
    Collection<ManagedTable> tables() {
        return Collections.unmodifiableCollection(tables.values());
    }

    /** Returns the sequence number of the last log entry that was appended. */
    long lastSequence() {
        return lastSequence;
    }

    TableLog log() {
        return log;
    }

    /**
     * Commits changes as a new version; does not create a version if nothing changes.
     *
     * @param delta the changed weights, 0 for a removed entry
     * @param wallMillis the wall clock in milliseconds since the epoch
     * @return the current version after the commit
     */
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
     * @param target the version that the table is rolled back to, 0 for none
     * @param pending the changes that lead to that version
     */
    void setPin(ManagedTable table, PinState pin, long target, Map<NodeId, Double> pending) {
        boolean persistedStateChanged = table.setPin(pin, target, pending);
        if (persistedStateChanged && !table.history().isEmpty()) {
            lastSequence =
                    log.append(
                            new LogEntry.PinChanged(
                                    table.id(), pin.persisted(), target, new TreeMap<>(pending)));
        }
    }

    /**
     * Raises a table's version number above a version that a proxy holds, so that version numbers
     * never decrease for the proxy. The proxy's version may be from another controller, or may not
     * have been persisted before a restart.
     *
     * @param wallMillis the wall clock in milliseconds since the epoch
     */
    void raiseNumberAbove(TableId id, long heldNumber, long wallMillis) {
        ManagedTable table = tables.get(id);
        long currentNumber =
                table == null ? minimumNumbers.getOrDefault(id, 0L) : table.current().number();
        if (heldNumber > MAX_VERSION_NUMBER || heldNumber <= currentNumber) {
            return;
        }
        long number = (heldNumber / NUMBER_MULTIPLE + 1) * NUMBER_MULTIPLE;
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

    /**
     * Applies a drain or its end and appends it to the log; returns whether it changes anything.
     */
    boolean applyDrain(Drain drain) {
        boolean changes = drains.apply(drain);
        lastSequence = log.append(new LogEntry.DrainChanged(drain));
        return changes;
    }

    /** Returns the tables, drains and layout to be persisted, for a log that begins a new file. */
    StoreSnapshot snapshot() {
        List<TableSnapshot> persisted = new ArrayList<>();
        for (ManagedTable table : tables.values()) {
            table.history()
                    .snapshot(table.pin(), table.rollbackTarget(), table.pending())
                    .ifPresent(persisted::add);
        }
        return new StoreSnapshot(layout, persisted, drains.snapshot());
    }
}
