package rosespread.table;

import java.util.Map;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * One committed version of a table. It shares all unchanged entries with the previous version, and
 * holds the changed ones, so that a delta from its parent needs no comparison. Immutable as long as
 * the maps passed to it are not changed.
 *
 * <p>A weight entry holds a node's weight in the table. In changes, weight 0 means that the entry
 * is removed; the weights in a version are always positive.
 *
 * @param number rises by one with each commit, and by more after a proxy reported a higher number;
 *     0 is the empty table before the first commit
 * @param cause the origin of the version
 * @param atMillis the wall clock of the commit
 * @param parent the number of the version that this one changed
 * @param entries all weight entries
 * @param changes the entries that differ from the parent's
 * @param digest see {@link TableDigest}
 */
public record TableVersion(
        TableId table,
        long number,
        Cause cause,
        long atMillis,
        long parent,
        PMap<NodeId, Double> entries,
        Map<NodeId, Double> changes,
        long digest) {

    /**
     * The origin of a version. Names are stored and reported by the control API and must not
     * change.
     */
    public enum Cause {
        /** The routing policy. */
        MODULE,
        /** An operator's request, for example the release of a pin. */
        OPERATOR,
        /** A step of a rollback. */
        ROLLBACK,
        /** Validation, which replaced changes that it refused. */
        GUARD,
        /** A proxy that holds a higher number: the entries are the same under a new number. */
        REJOIN
    }

    /** Returns a version without entries. */
    public static TableVersion empty(TableId table, long number) {
        return new TableVersion(
                table, number, Cause.MODULE, 0, 0, HashTreePMap.empty(), Map.of(), 0);
    }

    /** Returns a version with these entries, if only the number of its parent is known. */
    public static TableVersion full(
            TableId table,
            long number,
            Cause cause,
            long atMillis,
            long parent,
            Map<NodeId, Double> entries) {
        TableVersion filled = empty(table, 0).with(entries, cause, atMillis);
        return new TableVersion(
                table, number, cause, atMillis, parent, filled.entries, Map.of(), filled.digest);
    }

    /**
     * Returns the next version.
     *
     * @param weights new weights, 0 for an entry to remove; unchanged ones are left out of the
     *     changes
     * @return this version if nothing changes
     */
    public TableVersion with(Map<NodeId, Double> weights, Cause newCause, long nowMillis) {
        TableVersion next = successor(number + 1, weights, newCause, nowMillis);
        return next.changes.isEmpty() ? this : next;
    }

    /** Returns a version with a higher number, even if nothing changes; see {@link #with}. */
    public TableVersion successor(
            long newNumber, Map<NodeId, Double> weights, Cause newCause, long nowMillis) {
        PMap<NodeId, Double> next = entries;
        Map<NodeId, Double> effective = new TreeMap<>();
        long sum = digest;
        for (Map.Entry<NodeId, Double> change : weights.entrySet()) {
            NodeId node = change.getKey();
            double weight = change.getValue();
            Double old = next.get(node);
            if (weight > 0 && (old == null || old != weight)) {
                next = next.plus(node, weight);
                sum += TableDigest.of(node, weight) - (old == null ? 0 : TableDigest.of(node, old));
                effective.put(node, weight);
            } else if (weight == 0 && old != null) {
                next = next.minus(node);
                sum -= TableDigest.of(node, old);
                effective.put(node, 0.0);
            }
        }
        return new TableVersion(
                table, newNumber, newCause, nowMillis, number, next, effective, sum);
    }

    /** Returns the changes that lead from this version's entries to the given ones. */
    public Map<NodeId, Double> changesTo(Map<NodeId, Double> other) {
        Map<NodeId, Double> delta = new TreeMap<>();
        entries.forEach(
                (node, weight) -> {
                    if (!other.containsKey(node)) {
                        delta.put(node, 0.0);
                    }
                });
        other.forEach(
                (node, weight) -> {
                    Double old = entries.get(node);
                    if (old == null || !old.equals(weight)) {
                        delta.put(node, weight);
                    }
                });
        return delta;
    }
}
