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
 * A proxy's copy of a table: nodes with weights, admission limits, and the schedule of weighted
 * round robin. Confined to the loop's thread.
 */
final class WeightedTable {
    /** A node's weight and the virtual time at which its next turn is due. */
    private static final class Entry {
        final double weight;
        double dueTime;

        Entry(double weight, double dueTime) {
            this.weight = weight;
            this.dueTime = dueTime;
        }

        double period() {
            return 1 / weight;
        }
    }

    private final TreeMap<NodeId, Entry> entries = new TreeMap<>();
    private final Map<MethodId, Frame.Level> admissionLimits = new HashMap<>();
    private final RandomGenerator random;

    /** Virtual time of weighted round robin: due time of the last picked entry. */
    private double virtualTime;

    private long version;

    WeightedTable(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Adds a node or changes its weight. A new entry starts at a random phase of its turn, and a
     * new weight keeps the phase, so that proxies that receive the same change do not pick the same
     * nodes in lockstep.
     */
    void put(NodeId node, double weight) {
        Entry before = entries.get(node);
        double timeUntilDue =
                before == null
                        ? random.nextDouble() / weight
                        : Math.max(0, before.dueTime - virtualTime) * before.weight / weight;
        entries.put(node, new Entry(weight, virtualTime + timeUntilDue));
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

    /** Returns the version of the entries; 0 for a table that no controller sent. */
    long version() {
        return version;
    }

    /** Returns a read-only view of the nodes, in order of their ids. */
    Set<NodeId> nodes() {
        return Collections.unmodifiableSet(entries.keySet());
    }

    double weight(NodeId node) {
        return entries.get(node).weight;
    }

    /** Returns the digest over all entries, as the channel defines it. */
    long digest() {
        long sum = 0;
        for (Map.Entry<NodeId, Entry> entry : entries.entrySet()) {
            sum += TableDigest.of(entry.getKey(), entry.getValue().weight);
        }
        return sum;
    }

    /**
     * Picks the node whose turn is due first. A node whose turn passed while it was not a candidate
     * restarts at a random phase.
     *
     * @param candidates nodes of this table, at least one
     */
    NodeId pickRoundRobin(List<NodeId> candidates) {
        NodeId first = null;
        for (NodeId node : candidates) {
            Entry entry = entries.get(node);
            if (entry.dueTime < virtualTime) {
                entry.dueTime = virtualTime + random.nextDouble() / entry.weight;
            }
            first = first == null || entry.dueTime < entries.get(first).dueTime ? node : first;
        }
        Entry entry = entries.get(first);
        virtualTime = entry.dueTime;
        entry.dueTime += entry.period();
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
