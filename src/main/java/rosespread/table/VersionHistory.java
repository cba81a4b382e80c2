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
 * The versions of a table, limited in count and age, except for the current version and those
 * retained by number. Numbers only rise. Reads no clock: the time of a commit is a parameter, as
 * wall clock in milliseconds.
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
     * Creates the history of a table that was never committed.
     *
     * @param floor the number above which version numbers start
     */
    public VersionHistory(TableId table, long floor) {
        current = TableVersion.empty(table, floor);
    }

    /** Restores a history from a snapshot. */
    public VersionHistory(TableSnapshot snapshot) {
        snapshot.versions().forEach(version -> versions.put(version.number(), version));
        retained.addAll(snapshot.retained());
        current = snapshot.current();
    }

    /** Returns whether nothing was ever committed. */
    public boolean isEmpty() {
        return versions.isEmpty();
    }

    /** Returns the newest version; an empty one before the first commit. */
    public TableVersion current() {
        return current;
    }

    /**
     * Returns the table's admission limits by method, as a live map that the caller may change.
     * Admission limits belong to no version and are not stored.
     */
    public NavigableMap<MethodId, Double> admissionLimits() {
        return admissionLimits;
    }

    /**
     * Commits changes.
     *
     * @param changes new weights, 0 for an entry to remove
     * @return the current version, which is the previous one if nothing changes
     */
    public TableVersion commit(
            Map<NodeId, Double> changes, TableVersion.Cause cause, long nowMillis) {
        TableVersion next = current.with(changes, cause, nowMillis);
        if (next != current) {
            add(next);
        }
        return current;
    }

    /** Commits the same entries under a higher number, after a proxy reported a higher one. */
    public TableVersion renumber(long number, long nowMillis) {
        add(current.successor(number, Map.of(), TableVersion.Cause.REJOIN, nowMillis));
        return current;
    }

    /** Makes a version the current one; its number must be higher than all previous ones. */
    public void add(TableVersion next) {
        current = next;
        versions.put(next.number(), next);
        trim(next.atMillis());
    }

    /**
     * Drops all versions but the current one, as their entries no longer have the same meaning in a
     * new table layout.
     */
    public void dropAllButCurrent() {
        retained.clear();
        versions.keySet().removeIf(number -> number != current.number());
    }

    /**
     * Returns the state of the table to store.
     *
     * @param rollbackTarget the target version of a rollback in progress, 0 if none is in progress
     * @param pending the entries still to change for the rollback
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
     * Returns the changes from one version to another, weight 0 for a removed entry. Combines the
     * changes of the versions in between if all of them are in the history, so that the cost does
     * not grow with the table's size.
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
                changedNodesBetween(Math.min(from, to), Math.max(from, to))
                        .map(changedNodes -> changes(first, last, changedNodes))
                        .orElseGet(() -> first.changesTo(last.entries())));
    }

    /**
     * Returns the nodes whose entries changed between two versions; empty if one of the versions in
     * between is missing.
     */
    private Optional<TreeSet<NodeId>> changedNodesBetween(long low, long high) {
        TreeSet<NodeId> changedNodes = new TreeSet<>();
        TableVersion version = versions.get(high);
        while (version.number() > low && versions.containsKey(version.parent())) {
            changedNodes.addAll(version.changes().keySet());
            version = versions.get(version.parent());
        }
        return version.number() == low ? Optional.of(changedNodes) : Optional.empty();
    }

    private static Map<NodeId, Double> changes(
            TableVersion first, TableVersion last, TreeSet<NodeId> changedNodes) {
        Map<NodeId, Double> changes = new TreeMap<>();
        for (NodeId node : changedNodes) {
            Double before = first.entries().get(node);
            Double after = last.entries().get(node);
            if (!Objects.equals(before, after)) {
                changes.put(node, after == null ? 0.0 : after);
            }
        }
        return changes;
    }

    /**
     * Drops versions above the maximum count, the oldest first, and versions above the maximum age.
     * If the clock was set back, the age is measured from the newest version instead.
     */
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

    /** Returns a version by its number; empty if it was dropped or never existed. */
    public Optional<TableVersion> version(long number) {
        return Optional.ofNullable(versions.get(number));
    }

    /** Returns all versions, oldest first. */
    public List<TableVersion> versions() {
        return List.copyOf(versions.values());
    }

    /** Retains a version regardless of its age; a number not in the history is not retained. */
    public void retain(long number) {
        if (versions.containsKey(number)) {
            retained.add(number);
        } else {
            retained.remove(number);
        }
    }
}
