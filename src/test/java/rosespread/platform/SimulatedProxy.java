package rosespread.platform;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;

/** The proxy's side of a stream; its tables and exclusions outlive the stream. */
final class SimulatedProxy {
    private static final long NOT_JOINED = Long.MIN_VALUE;

    private final ProxyId id;
    private final int methods;
    private final Map<MethodId, Map<NodeId, Double>> tables = new TreeMap<>();
    private final Set<NodeId> excluded = new HashSet<>();
    private final ArrayDeque<Long> messageTimes = new ArrayDeque<>();
    private double requestsPerSecond;
    private long joinedNanos = NOT_JOINED;
    private boolean acknowledges = true;

    SimulatedProxy(int number, int methods) {
        this.id = new ProxyId(number);
        this.methods = methods;
    }

    ProxyId id() {
        return id;
    }

    /** Starts a stream; a proxy without tables starts with entries of these nodes. */
    void join(long now, double rate, Iterable<NodeId> initialNodes) {
        if (tables.isEmpty()) {
            for (int method = 0; method < methods; method++) {
                Map<NodeId, Double> table = new HashMap<>();
                initialNodes.forEach(node -> table.put(node, 1.0));
                tables.put(new MethodId(method), table);
            }
        }
        joinedNanos = now;
        requestsPerSecond = rate;
        messageTimes.clear();
    }

    void leave() {
        joinedNanos = NOT_JOINED;
    }

    boolean isJoined() {
        return joinedNanos != NOT_JOINED;
    }

    long joinedNanos() {
        return joinedNanos;
    }

    double requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Makes the proxy apply updates without acknowledging them from now on. */
    void stopAcknowledging() {
        acknowledges = false;
    }

    boolean acknowledges() {
        return acknowledges;
    }

    /** Counts a message written to the proxy; returns the number in the window that ends now. */
    int countMessage(long now, long windowNanos) {
        messageTimes.addLast(now);
        messageTimes.removeIf(at -> now - at > windowNanos);
        return messageTimes.size();
    }

    void apply(UpdatePart part) {
        for (int number = 0; number < methods; number++) {
            MethodId method = new MethodId(number);
            if (part.methods().isEmpty() || part.methods().contains(method)) {
                apply(part, tables.computeIfAbsent(method, absent -> new HashMap<>()));
            }
        }
        excluded.addAll(part.excluded());
        excluded.removeAll(part.readmitted());
    }

    private static void apply(UpdatePart part, Map<NodeId, Double> table) {
        if (part.full()) {
            table.clear();
        }
        part.weights()
                .forEach(
                        (node, weight) ->
                                table.compute(node, (same, old) -> weight > 0 ? weight : null));
    }

    /**
     * Adds the proxy's rate of requests to each node: the rate is split evenly among the methods,
     * and for each method by the weights of its table.
     */
    void addLoads(Map<NodeId, Double> loads) {
        for (Map<NodeId, Double> table : tables.values()) {
            double sum =
                    table.entrySet().stream()
                            .filter(entry -> !excluded.contains(entry.getKey()))
                            .mapToDouble(Map.Entry::getValue)
                            .sum();
            double rate = requestsPerSecond / tables.size();
            table.forEach(
                    (node, weight) -> {
                        if (!excluded.contains(node)) {
                            loads.merge(node, rate * weight / sum, Double::sum);
                        }
                    });
        }
    }

    /**
     * Whether the proxy holds an entry of the node and has not excluded the node. Holding an entry
     * counts as sending, as a proxy sends often enough to use each of its entries.
     */
    boolean sendsTo(NodeId node) {
        return !excluded.contains(node)
                && tables.values().stream().anyMatch(table -> table.containsKey(node));
    }

    /** The nodes in the table of the first method. */
    Set<NodeId> nodesOfFirstMethod() {
        return tables.get(new MethodId(0)).keySet();
    }
}
