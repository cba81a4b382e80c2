package rosespread.testbed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.channel.Frame;

/**
 * What a plain proxy holds: a table for each method, the nodes that are excluded, and where nodes
 * are. What was held when a stream ended stays in use until the next stream brings other tables.
 * Confined to the loop's thread.
 */
final class ProxyTables {
    private static final double INITIAL_WEIGHT = 1;

    private final Map<NodeId, NodeAddress> addresses = new HashMap<>();
    private final Map<MethodId, WeightedTable> byMethod = new HashMap<>();
    private final Map<TableId, WeightedTable> ofStream = new HashMap<>();

    /** The highest versions that any stream brought. */
    private final TreeMap<TableId, Long> highestVersions = new TreeMap<>();

    private final Set<NodeId> excluded = new TreeSet<>();
    private final RandomGenerator random;

    ProxyTables(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the table with which a method starts; all its nodes weigh the same. */
    void putInitial(MethodId method, Map<NodeId, NodeAddress> nodes) {
        WeightedTable table = new WeightedTable(random);
        nodes.forEach(
                (node, address) -> {
                    addresses.put(node, address);
                    table.put(node, INITIAL_WEIGHT);
                });
        byMethod.put(method, table);
    }

    /** A new stream: what is held stays in use, but its tables are not this controller's. */
    void streamStarted() {
        ofStream.clear();
    }

    /** Takes up where a node is. */
    void putAddress(NodeId node, NodeAddress address) {
        addresses.put(node, address);
    }

    /** What applying a message did: how many entries it had, and what to answer for it. */
    record Applied(int entries, List<Frame.Missed> missed) {}

    /** Takes up a message as a whole. */
    Applied apply(List<Frame> message) {
        List<Frame.Missed> missed = new ArrayList<>();
        int entries = 0;
        if (message.stream().anyMatch(frame -> frame instanceof Frame.Bind)) {
            excluded.clear();
        }
        for (Frame frame : message) {
            if (frame instanceof Frame.Bind bind) {
                applyFull(bind, missed);
                entries += bind.lines().size();
            } else if (frame instanceof Frame.Lines delta && holds(delta.table())) {
                applyDelta(delta, missed);
                entries += delta.lines().size();
            } else if (frame instanceof Frame.Levels limits && holds(limits.table())) {
                limits.levels().forEach(ofStream.get(limits.table())::putAdmissionLimit);
            } else if (frame instanceof Frame.Withdraw exclusion) {
                setExcluded(exclusion.node(), exclusion.out());
            }
        }
        return new Applied(entries, missed);
    }

    private void applyFull(Frame.Bind bind, List<Frame.Missed> missed) {
        WeightedTable table = new WeightedTable(random);
        bind.lines().forEach(entry -> table.put(entry.node(), entry.weight()));
        bind.levels().forEach(table::putAdmissionLimit);
        bind.methods().forEach(method -> byMethod.put(method, table));
        table.setVersion(bind.version());
        highestVersions.merge(bind.table(), table.version(), Math::max);
        ofStream.put(bind.table(), table);
        if (table.digest() != bind.digest()) {
            missed.add(new Frame.Missed(bind.table(), table.version()));
        }
    }

    private void applyDelta(Frame.Lines delta, List<Frame.Missed> missed) {
        WeightedTable table = ofStream.get(delta.table());
        boolean follows = table.version() == delta.from();
        for (Frame.Line entry : delta.lines()) {
            // A delta that does not follow may still take nodes out: that can only keep a drain.
            if (entry.weight() == 0) {
                table.remove(entry.node());
            } else if (follows) {
                table.put(entry.node(), entry.weight());
            }
        }
        if (follows) {
            table.setVersion(delta.to());
        }
        highestVersions.merge(delta.table(), table.version(), Math::max);
        if (!follows || table.digest() != delta.digest()) {
            missed.add(new Frame.Missed(delta.table(), table.version()));
        }
    }

    private void setExcluded(NodeId node, boolean isExcluded) {
        if (isExcluded) {
            excluded.add(node);
        } else {
            excluded.remove(node);
        }
    }

    /** Whether this stream brought a table. */
    boolean holds(TableId table) {
        return ofStream.containsKey(table);
    }

    /** The highest versions that any stream brought, in order of tables. */
    List<Frame.Holding> highestVersions() {
        return highestVersions.entrySet().stream()
                .map(entry -> new Frame.Holding(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** A table that this stream brought, by the nodes' names. */
    TrafficRecorder.TableSnapshot snapshot(TableId id) {
        WeightedTable table = ofStream.get(id);
        Map<String, Double> weights = new TreeMap<>();
        table.nodes().forEach(node -> weights.put(name(node), table.weight(node)));
        return new TrafficRecorder.TableSnapshot(
                id.value(), table.version(), table.digest(), weights);
    }

    private String name(NodeId node) {
        NodeAddress address = addresses.get(node);
        return address == null ? Long.toHexString(node.value()) : address.name();
    }

    /** Whether there is a node to pick for a method. */
    boolean isAvailable(MethodId method) {
        WeightedTable table = byMethod.get(method);
        return table != null && table.nodes().stream().anyMatch(this::isUsable);
    }

    private boolean isUsable(NodeId node) {
        return !excluded.contains(node) && addresses.containsKey(node);
    }

    /** The admission limit of a method; empty if all is admitted and retries are as usual. */
    Optional<Frame.Level> admissionLimit(MethodId method) {
        WeightedTable table = byMethod.get(method);
        return table == null ? Optional.empty() : table.admissionLimit(method);
    }

    /** Where a node is that {@link #pick} returned. */
    NodeAddress address(NodeId node) {
        return addresses.get(node);
    }

    /**
     * Picks a node that is not excluded, nor among the avoided as long as there are others.
     *
     * @param inFlight RPCs at each node now
     * @return empty if there is no node to pick
     */
    Optional<NodeId> pick(
            MethodId method,
            SiteDefinition.Pick policy,
            Set<NodeId> avoided,
            Map<NodeId, Integer> inFlight) {
        WeightedTable table = byMethod.get(method);
        if (table == null) {
            return Optional.empty();
        }
        List<NodeId> usable = new ArrayList<>(table.nodes());
        usable.removeIf(node -> !isUsable(node));
        List<NodeId> preferred = new ArrayList<>(usable);
        preferred.removeAll(avoided);
        List<NodeId> candidates = preferred.isEmpty() ? usable : preferred;
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                switch (policy) {
                    case ROUND -> table.pickRoundRobin(candidates);
                    case RANDOM -> table.pickRandom(candidates);
                    case BEST_OF_TWO -> pickBestOfTwo(table, candidates, inFlight);
                });
    }

    private static NodeId pickBestOfTwo(
            WeightedTable table, List<NodeId> candidates, Map<NodeId, Integer> inFlight) {
        NodeId one = table.pickRandom(candidates);
        NodeId two = table.pickRandom(candidates);
        return inFlight.getOrDefault(two, 0) < inFlight.getOrDefault(one, 0) ? two : one;
    }
}
