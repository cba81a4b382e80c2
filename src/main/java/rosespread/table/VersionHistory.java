package rosespread.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * A table's versions, bounded by count and age; the current one and those that are retained by
 * number stay. Numbers only rise. Reads no clock: the moment of a commit is passed in, as wall
 * clock in milliseconds.
 *
 * <p>Not thread-safe: owned by the controller's event loop.
 */
public final class VersionHistory {
    private static final int MAX_VERSIONS = 256;
    private static final long MAX_AGE_MILLIS = 24 * 3600 * 1000L;

    private final TreeMap<Long, TableVersion> versions = new TreeMap<>();
    private final TreeSet<Long> retained = new TreeSet<>();
    private final TreeMap<MethodId, Double> admissionLimits = new TreeMap<>();
    private TableVersion current;

    /**
     * The history of a table that was never committed.
     *
     * @param floor the number after which numbers begin
     */
    public VersionHistory(TableId table, long floor) {
        current = TableVersion.empty(table, floor);
    }

    /** A history as it was stored. */
    public VersionHistory(TableSnapshot snapshot) {
        snapshot.versions().forEach(version -> versions.put(version.number(), version));
        retained.addAll(snapshot.retained());
        current = snapshot.current();
    }

    /** Whether nothing was ever committed. */
    public boolean isEmpty() {
        return versions.isEmpty();
    }

    /** The newest version; an empty one before the first commit. */
    public TableVersion current() {
        return current;
    }

    /**
     * The admission limits that go with the table, by method: a live map that the caller changes.
     * They are no part of a version and are not stored.
     */
    public NavigableMap<MethodId, Double> admissionLimits() {
        return admissionLimits;
    }

    /**
     * Commits changes.
     *
     * @param changes new weights, 0 for an entry to remove
     * @return the current version, which is the one before if nothing changes
     */
    public TableVersion commit(
            Map<NodeId, Double> changes, TableVersion.Cause cause, long nowMillis) {
        TableVersion next = current.with(changes, cause, nowMillis);
        if (next != current) {
            add(next);
        }
        return current;
    }

    /** Commits the same entries under a later number: a proxy was met that holds a higher one. */
    public TableVersion renumber(long number, long nowMillis) {
        add(current.successor(number, Map.of(), TableVersion.Cause.REJOIN, nowMillis));
        return current;
    }

    /** Makes a version the current one; its number must be higher than all before. */
    public void add(TableVersion next) {
        current = next;
        versions.put(next.number(), next);
        trim(next.atMillis());
    }

    /** Drops all versions but the current one: their entries no longer mean the same. */
    public void dropAllButCurrent() {
        retained.clear();
        versions.keySet().removeIf(number -> number != current.number());
    }

    /**
     * What is to be stored of the table.
     *
     * @param rollbackTarget the version that it still goes back to, 0 if none
     * @param pending the entries that it still has to change for that
     * @return empty before the first commit
     */
    public Optional<TableSnapshot> snapshot(
            PinState pinState, long rollbackTarget, Map<NodeId, Double> pending) {
        if (versions.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new TableSnapshot(
                        versions(),
                        new TreeSet<>(retained),
                        pinState.persisted(),
                        rollbackTarget,
                        new TreeMap<>(pending)));
    }

    /**
     * What changes from one version to another, weight 0 for an entry that is removed. Follows the
     * changes from version to version where all between are there, so that its cost does not grow
     * with the table.
     *
     * @return empty if either version is not in the history
     */
    public Optional<Map<NodeId, Double>> difference(long from, long to) {
        TableVersion first = versions.get(from);
        TableVersion last = versions.get(to);
        if (first == null || last == null) {
            return Optional.empty();
        }
        return Optional.of(
                touchedBetween(Math.min(from, to), Math.max(from, to))
                        .map(touched -> changes(first, last, touched))
                        .orElseGet(() -> first.changesTo(last.entries())));
    }

    /** The nodes whose entries changed after one version up to another; empty if one is missing. */
    private Optional<TreeSet<NodeId>> touchedBetween(long low, long high) {
        TreeSet<NodeId> touched = new TreeSet<>();
        TableVersion at = versions.get(high);
        while (at.number() > low && versions.containsKey(at.parent())) {
            touched.addAll(at.changes().keySet());
            at = versions.get(at.parent());
        }
        return at.number() == low ? Optional.of(touched) : Optional.empty();
    }

    private static Map<NodeId, Double> changes(
            TableVersion first, TableVersion last, TreeSet<NodeId> touched) {
        Map<NodeId, Double> changes = new TreeMap<>();
        for (NodeId node : touched) {
            Double before = first.entries().get(node);
            Double after = last.entries().get(node);
            if (!Objects.equals(before, after)) {
                changes.put(node, after == null ? 0.0 : after);
            }
        }
        return changes;
    }

    /** The clock may be set back: age counts from the newest version as well. */
    private void trim(long nowMillis) {
        long newest = Math.max(nowMillis, current.atMillis());
        List<Long> dropped = new ArrayList<>();
        int surplus = versions.size() - MAX_VERSIONS;
        for (TableVersion version : versions.values()) {
            boolean tooOld = newest - version.atMillis() > MAX_AGE_MILLIS;
            if ((surplus > 0 || tooOld) && mayDrop(version)) {
                dropped.add(version.number());
                surplus--;
            }
        }
        dropped.forEach(versions::remove);
    }

    private boolean mayDrop(TableVersion version) {
        return version != current && !retained.contains(version.number());
    }

    /** A version by its number; empty if it was dropped or never there. */
    public Optional<TableVersion> version(long number) {
        return Optional.ofNullable(versions.get(number));
    }

    /** All versions, the oldest first. */
    public List<TableVersion> versions() {
        return List.copyOf(versions.values());
    }

    /** Retains a version whatever its age; a number that is not in the history is not retained. */
    public void retain(long number) {
        if (versions.containsKey(number)) {
            retained.add(number);
        } else {
            retained.remove(number);
        }
    }
}
