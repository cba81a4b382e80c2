package rosespread.table;

import java.util.Map;
import java.util.TreeMap;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * A table as it was committed once, never changed. It shares all unchanged lines with the version
 * before it, and holds what it changed, so that a delta to its parent's successor needs no
 * comparison.
 *
 * @param number rises by one with each commit, by more where a proxy was met that holds a higher
 *     one; 0 is the empty table before the first
 * @param parent the number of the version that it changed
 * @param atMillis wall clock of the commit
 * @param changes lines that differ from the parent's; weight 0 stands for a removed line
 * @param digest see {@link TableDigest}
 */
public record TableVersion(
        TableId table,
        long number,
        Cause cause,
        long atMillis,
        long parent,
        PMap<NodeId, Double> lines,
        Map<NodeId, Double> changes,
        long digest) {

    /** Who or what a version comes from. */
    public enum Cause {
        MODULE,
        OPERATOR,
        ROLLBACK,
        GUARD,
        REJOIN
    }

    public static TableVersion empty(TableId table, long number) {
        return new TableVersion(
                table, number, Cause.MODULE, 0, 0, HashTreePMap.empty(), Map.of(), 0);
    }

    /** A version with these lines whose parent is known by number only. */
    public static TableVersion whole(
            TableId table,
            long number,
            Cause cause,
            long atMillis,
            long parent,
            Map<NodeId, Double> lines) {
        TableVersion filled = empty(table, 0).with(lines, cause, atMillis);
        return new TableVersion(
                table, number, cause, atMillis, parent, filled.lines, Map.of(), filled.digest);
    }

    /** The next version, or this one if the changes change nothing. Weight 0 removes a line. */
    public TableVersion with(Map<NodeId, Double> wanted, Cause why, long nowMillis) {
        TableVersion next = successor(number + 1, wanted, why, nowMillis);
        return next.changes.isEmpty() ? this : next;
    }

    /** A later version of a given number, also if the changes change nothing. */
    public TableVersion successor(long later, Map<NodeId, Double> wanted, Cause why, long nowMillis) {
        PMap<NodeId, Double> next = lines;
        Map<NodeId, Double> truly = new TreeMap<>();
        long sum = digest;
        for (Map.Entry<NodeId, Double> change : wanted.entrySet()) {
            NodeId node = change.getKey();
            double weight = change.getValue();
            Double old = next.get(node);
            if (weight > 0 && (old == null || old != weight)) {
                next = next.plus(node, weight);
                sum += TableDigest.of(node, weight) - (old == null ? 0 : TableDigest.of(node, old));
                truly.put(node, weight);
            } else if (weight == 0 && old != null) {
                next = next.minus(node);
                sum -= TableDigest.of(node, old);
                truly.put(node, 0.0);
            }
        }
        return new TableVersion(table, later, why, nowMillis, number, next, truly, sum);
    }

    /** What has to change to come from this table's lines to other ones. */
    public Map<NodeId, Double> changesTo(Map<NodeId, Double> other) {
        Map<NodeId, Double> changes = new TreeMap<>();
        lines.forEach(
                (node, weight) -> {
                    if (!other.containsKey(node)) {
                        changes.put(node, 0.0);
                    }
                });
        other.forEach(
                (node, weight) -> {
                    Double old = lines.get(node);
                    if (old == null || !old.equals(weight)) {
                        changes.put(node, weight);
                    }
                });
        return changes;
    }
}
