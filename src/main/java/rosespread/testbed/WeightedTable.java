package rosespread.testbed;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.channel.Frame;
import rosespread.table.TableDigest;

/**
 * A table as a proxy holds it: nodes with weights, admission limits, and the turns of weighted
 * round robin. Confined to the loop's thread.
 */
final class WeightedTable {
    /** A node's weight and when, by the table's own clock, its next turn is due. */
    private static final class Entry {
        final double weight;
        double due;

        Entry(double weight, double due) {
            this.weight = weight;
            this.due = due;
        }

        double period() {
            return 1 / weight;
        }
    }

    private final TreeMap<NodeId, Entry> entries = new TreeMap<>();
    private final Map<MethodId, Frame.Level> admissionLimits = new HashMap<>();
    private final RandomGenerator random;
    private double clock;
    private long version;

    WeightedTable(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Adds a node or changes its weight. Each proxy begins an entry anywhere in its turn, and a new
     * weight leaves it at the same part of its turn, so that proxies that get the same change do
     * not move in step.
     */
    void put(NodeId node, double weight) {
        Entry before = entries.get(node);
        double untilDue =
                before == null
                        ? random.nextDouble() / weight
                        : Math.max(0, before.due - clock) * before.weight / weight;
        entries.put(node, new Entry(weight, clock + untilDue));
    }

    void remove(NodeId node) {
        entries.remove(node);
    }

    void putAdmissionLimit(Frame.Level limit) {
        admissionLimits.put(limit.method(), limit);
    }

    Optional<Frame.Level> admissionLimit(MethodId method) {
        return Optional.ofNullable(admissionLimits.get(method));
    }

    void setVersion(long newVersion) {
        version = newVersion;
    }

    /** The version that the entries come from; 0 for a table that no controller sent. */
    long version() {
        return version;
    }

    /** A view of the nodes, in order of their ids. */
    Set<NodeId> nodes() {
        return Collections.unmodifiableSet(entries.keySet());
    }

    double weight(NodeId node) {
        return entries.get(node).weight;
    }

    /** The digest over all entries, as the channel defines it. */
    long digest() {
        long sum = 0;
        for (Map.Entry<NodeId, Entry> entry : entries.entrySet()) {
            sum += TableDigest.of(entry.getKey(), entry.getValue().weight);
        }
        return sum;
    }

    /**
     * Takes the node whose turn is due first. One that was left out meanwhile starts its turn
     * again.
     *
     * @param candidates nodes of this table, at least one
     */
    NodeId pickRoundRobin(List<NodeId> candidates) {
        NodeId first = null;
        for (NodeId node : candidates) {
            Entry entry = entries.get(node);
            if (entry.due < clock) {
                entry.due = clock + random.nextDouble() / entry.weight;
            }
            first = first == null || entry.due < entries.get(first).due ? node : first;
        }
        Entry entry = entries.get(first);
        clock = entry.due;
        entry.due += entry.period();
        return first;
    }

    /**
     * Draws a node by weight.
     *
     * @param candidates nodes of this table, at least one
     */
    NodeId pickRandom(List<NodeId> candidates) {
        double sum = candidates.stream().mapToDouble(this::weight).sum();
        double remaining = random.nextDouble() * sum;
        for (NodeId node : candidates) {
            remaining -= weight(node);
            if (remaining < 0) {
                return node;
            }
        }
        return candidates.get(candidates.size() - 1);
    }
}
