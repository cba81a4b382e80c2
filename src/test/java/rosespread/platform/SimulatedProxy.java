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

/** A proxy's end of its stream; the tables and exclusions that it holds outlive the stream. */
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

    /** A stream begins; the proxy brings entries of these nodes if it holds no table yet. */
    void join(long now, double rate, Iterable<NodeId> brought) {
        if (tables.isEmpty()) {
            for (int method = 0; method < methods; method++) {
                Map<NodeId, Double> table = new HashMap<>();
                brought.forEach(node -> table.put(node, 1.0));
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

    /** From now on it applies what it gets, but its acknowledgements never come. */
    void stopAcknowledging() {
        acknowledges = false;
    }

    boolean acknowledges() {
        return acknowledges;
    }

    /** Counts a message written to it; returns how many there were in the window up to now. */
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

    /** Adds what it sends to each node, a method's part of its rate by the weights of its table. */
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

    /** Holding an entry counts as sending: a proxy sends often enough for it to come true. */
    boolean sendsTo(NodeId node) {
        return !excluded.contains(node)
                && tables.values().stream().anyMatch(table -> table.containsKey(node));
    }

    /** The nodes that its first method's table names. */
    Set<NodeId> nodesOfFirstMethod() {
        return tables.get(new MethodId(0)).keySet();
    }
}
