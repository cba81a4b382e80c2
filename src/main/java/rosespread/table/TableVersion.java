package rosespread.table;

import java.util.Map;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * A table as it was committed once. It shares all unchanged entries with the version before it, and
 * holds what it changed, so that a delta from its parent needs no comparison. Immutable as long as
 * nobody changes the maps that it was made of.
 *
 * <p>A weight entry gives a node its weight in the table. In changes, weight 0 stands for an entry
 * that is removed; the entries of a version are always positive.
 *
 * @param number rises by one with each commit, by more where a proxy was met that holds a higher
 *     one; 0 is the empty table before the first
 * @param cause who or what the version comes from
 * @param atMillis wall clock of the commit
 * @param parent the number of the version that it changed
 * @param entries all weight entries
 * @param changes entries that differ from the parent's
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
     * Who or what a version comes from. Names are stored and reported by the control API and must
     * not change.
     */
    public enum Cause {
        /** The routing policy ordered it. */
        MODULE,
        /** An operator ordered it, for example by releasing a pin. */
        OPERATOR,
        /** A part of a rollback. */
        ROLLBACK,
        /** Validation put it in place of what was refused. */
        GUARD,
        /** A proxy was met that holds a higher number: the same entries, renumbered. */
        REJOIN
    }

    /** A version without entries. */
    public static TableVersion empty(TableId table, long number) {
        return new TableVersion(
                table, number, Cause.MODULE, 0, 0, HashTreePMap.empty(), Map.of(), 0);
    }

    /** A version with these entries, of whose parent only the number is known. */
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
     * The next version.
     *
     * @param wanted new weights; those that are set already are left out of the changes
     * @return this version if nothing changes
     */
    public TableVersion with(Map<NodeId, Double> wanted, Cause why, long nowMillis) {
        TableVersion next = successor(number + 1, wanted, why, nowMillis);
        return next.changes.isEmpty() ? this : next;
    }

    /** A later version with a given number, also if nothing changes; see {@link #with}. */
    public TableVersion successor(
            long later, Map<NodeId, Double> wanted, Cause why, long nowMillis) {
        PMap<NodeId, Double> next = entries;
        Map<NodeId, Double> effective = new TreeMap<>();
        long sum = digest;
        for (Map.Entry<NodeId, Double> change : wanted.entrySet()) {
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
        return new TableVersion(table, later, why, nowMillis, number, next, effective, sum);
    }

    /** What has to change to come from this table's entries to other ones. */
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
