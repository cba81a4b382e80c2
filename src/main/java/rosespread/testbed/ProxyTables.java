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
 * State of a simple proxy: a table for each method, the excluded nodes, and the addresses of nodes.
 * When a stream ends, this state stays in use until the next stream replaces the tables. Confined
 * to the loop's thread.
 */
final class ProxyTables {
    private static final double INITIAL_WEIGHT = 1;

    private final Map<NodeId, NodeAddress> addresses = new HashMap<>();
    private final Map<MethodId, WeightedTable> byMethod = new HashMap<>();

    /** Tables received on the current stream. */
    private final Map<TableId, WeightedTable> streamTables = new HashMap<>();

    /**
     * Highest version of each table received and applied on any stream since the proxy's process
     * started.
     */
    private final TreeMap<TableId, Long> highestVersions = new TreeMap<>();

    private final Set<NodeId> excluded = new TreeSet<>();
    private final RandomGenerator random;

    ProxyTables(RandomGenerator random) {
        this.random = random;
    }

    /** Sets the initial table of a method, with equal weights. */
    void putInitial(MethodId method, Map<NodeId, NodeAddress> nodes) {
        WeightedTable table = new WeightedTable(random);
        nodes.forEach(
                (node, address) -> {
                    addresses.put(node, address);
                    table.put(node, INITIAL_WEIGHT);
                });
        byMethod.put(method, table);
    }

    /**
     * Called when a new stream starts: the tables stay in use, but the controller of the new stream
     * has not sent them.
     */
    void streamStarted() {
        streamTables.clear();
    }

    /** Stores the address of a node. */
    void putAddress(NodeId node, NodeAddress address) {
        addresses.put(node, address);
    }

    /**
     * Result of applying a message: the number of weight entries in its applied tables and deltas,
     * and the requests for full tables with which the proxy answers.
     */
    record Applied(int entries, List<Frame.Missed> missed) {}

    /** Applies all frames of a message. */
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
                limits.levels().forEach(streamTables.get(limits.table())::putAdmissionLimit);
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
        streamTables.put(bind.table(), table);
        if (table.digest() != bind.digest()) {
            missed.add(new Frame.Missed(bind.table(), table.version()));
        }
    }

    private void applyDelta(Frame.Lines delta, List<Frame.Missed> missed) {
        WeightedTable table = streamTables.get(delta.table());
        boolean startsFromHeldVersion = table.version() == delta.from();
        for (Frame.Line entry : delta.lines()) {
            // Removals are applied even if the delta starts from another version: a removal
            // only stops traffic to a node, and so keeps a drain in effect.
            if (entry.weight() == 0) {
                table.remove(entry.node());
            } else if (startsFromHeldVersion) {
                table.put(entry.node(), entry.weight());
            }
        }
        if (startsFromHeldVersion) {
            table.setVersion(delta.to());
        }
        highestVersions.merge(delta.table(), table.version(), Math::max);
        if (!startsFromHeldVersion || table.digest() != delta.digest()) {
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

    /** Returns whether a table was received on the current stream. */
    boolean holds(TableId table) {
        return streamTables.containsKey(table);
    }

    /**
     * Returns the highest version of each table received and applied on any stream since the
     * proxy's process started, in order of table id.
     */
    List<Frame.Holding> highestVersions() {
        return highestVersions.entrySet().stream()
                .map(entry -> new Frame.Holding(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Returns a snapshot of a table received on the current stream, by node name. */
    TrafficRecorder.TableSnapshot snapshot(TableId id) {
        WeightedTable table = streamTables.get(id);
        Map<String, Double> weights = new TreeMap<>();
        table.nodes().forEach(node -> weights.put(name(node), table.weight(node)));
        return new TrafficRecorder.TableSnapshot(
                id.value(), table.version(), table.digest(), weights);
    }

    private String name(NodeId node) {
        NodeAddress address = addresses.get(node);
        return address == null ? Long.toHexString(node.value()) : address.name();
    }

    /** Returns whether there is a node to pick for a method. */
    boolean isAvailable(MethodId method) {
        WeightedTable table = byMethod.get(method);
        return table != null && table.nodes().stream().anyMatch(this::isUsable);
    }

    private boolean isUsable(NodeId node) {
        return !excluded.contains(node) && addresses.containsKey(node);
    }

    /**
     * Returns the admission limit of a method; empty if all RPCs are admitted and the default retry
     * rule applies.
     */
    Optional<Frame.Level> admissionLimit(MethodId method) {
        WeightedTable table = byMethod.get(method);
        return table == null ? Optional.empty() : table.admissionLimit(method);
    }

    /** Returns the address of a node that {@link #pick} returned. */
    NodeAddress address(NodeId node) {
        return addresses.get(node);
    }

    /**
     * Picks a node that is not excluded; picks an avoided node only if there is no other.
     *
     * @param inFlight number of RPCs in flight at each node
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
        NodeId first = table.pickRandom(candidates);
        NodeId second = table.pickRandom(candidates);
        return inFlight.getOrDefault(second, 0) < inFlight.getOrDefault(first, 0) ? second : first;
    }
}
