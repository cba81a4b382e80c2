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
 * A table's versions, newest last, bounded by count and age; kept ones stay. Levels go beside the
 * lines.
 */
public final class VersionHistory {
    private static final int MOST = 256;
    private static final long OLDEST_MILLIS = 24 * 3600 * 1000L;

    private final TreeMap<Long, TableVersion> versions = new TreeMap<>();
    private final TreeSet<Long> kept = new TreeSet<>();
    private final TreeMap<MethodId, Double> admissionLimits = new TreeMap<>();
    private TableVersion current;

    /**
     * @param floor the number after which numbers begin
     */
    public VersionHistory(TableId table, long floor) {
        current = TableVersion.empty(table, floor);
    }

    /** A history as it was kept. */
    public VersionHistory(TableSnapshot image) {
        image.versions().forEach(version -> versions.put(version.number(), version));
        kept.addAll(image.retained());
        current = image.current();
    }

    /** Whether nothing was ever committed. */
    public boolean isEmpty() {
        return versions.isEmpty();
    }

    public TableVersion current() {
        return current;
    }

    public NavigableMap<MethodId, Double> admissionLimits() {
        return admissionLimits;
    }

    /** Commits changes; the version stays as it is if nothing truly changes. */
    public TableVersion commit(
            Map<NodeId, Double> changes, TableVersion.Cause cause, long nowMillis) {
        TableVersion next = current.with(changes, cause, nowMillis);
        if (next != current) {
            add(next);
        }
        return current;
    }

    /** The lines as they are, under a later number: a proxy was met that holds a higher one. */
    public TableVersion renumber(long number, long nowMillis) {
        add(current.successor(number, Map.of(), TableVersion.Cause.REJOIN, nowMillis));
        return current;
    }

    /** Takes the next version as it was made. */
    public void add(TableVersion next) {
        current = next;
        versions.put(next.number(), next);
        trim(next.atMillis());
    }

    /** Lets go of all versions but the one that is out: their lines no longer mean the same. */
    public void dropAllButCurrent() {
        kept.clear();
        versions.keySet().removeIf(number -> number != current.number());
    }

    /** What is kept on disk of it; nothing before the first commit. */
    public Optional<TableSnapshot> snapshot(PinState hold, long to, Map<NodeId, Double> pending) {
        return versions.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new TableSnapshot(
                                versions(),
                                new TreeSet<>(kept),
                                hold.lasting(),
                                to,
                                new TreeMap<>(pending)));
    }

    /**
     * What changes from one kept version to another, weight 0 for a line that goes. Follows the
     * changes from version to version where all between are kept, so that its cost does not grow
     * with the table.
     */
    public Optional<Map<NodeId, Double>> difference(long from, long to) {
        TableVersion first = versions.get(from);
        TableVersion last = versions.get(to);
        if (first == null || last == null) {
            return Optional.empty();
        }
        long low = Math.min(from, to);
        TreeSet<NodeId> touched = new TreeSet<>();
        TableVersion at = versions.get(Math.max(from, to));
        while (at.number() > low && versions.containsKey(at.parent())) {
            touched.addAll(at.changes().keySet());
            at = versions.get(at.parent());
        }
        if (at.number() != low) {
            return Optional.of(first.changesTo(last.lines()));
        }
        Map<NodeId, Double> changes = new TreeMap<>();
        for (NodeId node : touched) {
            Double before = first.lines().get(node);
            Double after = last.lines().get(node);
            if (!Objects.equals(before, after)) {
                changes.put(node, after == null ? 0.0 : after);
            }
        }
        return Optional.of(changes);
    }

    /** The clock may be set back: age counts from the newest version as well. */
    private void trim(long nowMillis) {
        long newest = Math.max(nowMillis, current.atMillis());
        List<Long> old = new ArrayList<>();
        int surplus = versions.size() - MOST;
        for (TableVersion version : versions.values()) {
            boolean tooOld = newest - version.atMillis() > OLDEST_MILLIS;
            if ((surplus > 0 || tooOld) && version != current && !kept.contains(version.number())) {
                old.add(version.number());
                surplus--;
            }
        }
        old.forEach(versions::remove);
    }

    public Optional<TableVersion> version(long number) {
        return Optional.ofNullable(versions.get(number));
    }

    public List<TableVersion> versions() {
        return List.copyOf(versions.values());
    }

    /** Keeps a version whatever its age, or lets go of it. */
    public void keep(long number, boolean on) {
        if (on && versions.containsKey(number)) {
            kept.add(number);
        } else {
            kept.remove(number);
        }
    }

    public boolean isKept(long number) {
        return kept.contains(number);
    }
}
