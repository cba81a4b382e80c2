package rosespread.policy.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;

/**
 * A shard's table for methods open to the same nodes. It holds the committed weights, the weights
 * delivered to the proxies, and one pending delivery with the changes from the delivered weights to
 * the committed ones. A node is pending if and only if its delivered weight differs from its
 * committed weight. Only the pending delivery contains weights of 0, which remove entries.
 */
public final class ShardTable {
    private final TableId id;
    private final ProxyShard shard;
    private final int index;
    private final PolicySettings.Method restrictions;
    private final ZoneId localZone;
    private final List<MethodId> methods = new ArrayList<>();
    private final Map<NodeId, Double> committed = new LinkedHashMap<>();
    private final Map<NodeId, Double> delivered = new LinkedHashMap<>();
    private final TreeMap<NodeId, Double> pending = new TreeMap<>();
    private final Map<NodeId, Double> committedView = Collections.unmodifiableMap(committed);
    private final Map<NodeId, Double> deliveredView = Collections.unmodifiableMap(delivered);
    private final Map<NodeId, Double> pendingView = Collections.unmodifiableMap(pending);
    private final TreeMap<MethodId, Double> admissionLimits = new TreeMap<>();
    private final TreeMap<MethodId, Double> pendingLimits = new TreeMap<>();
    private final TreeSet<ProxyId> unacknowledged = new TreeSet<>();
    private long version;
    private long deliverySequence;
    private long deliveredAt = Node.NEVER;
    private long parts = 1;
    private int pendingRemovals;
    private int urgentEntries;
    private boolean pendingCountsValid;
    private boolean panicking;
    private boolean limitUrgent;

    /**
     * Creates an empty table.
     *
     * @param id the table's number
     * @param shard the shard whose proxies share the table
     * @param index the table's index in the shard
     * @param restrictions a method whose allowed nodes are those of the table
     * @param localZone the only zone of the table's nodes and proxies, null for all zones
     */
    ShardTable(
            TableId id,
            ProxyShard shard,
            int index,
            PolicySettings.Method restrictions,
            ZoneId localZone) {
        this.id = id;
        this.shard = shard;
        this.index = index;
        this.restrictions = restrictions;
        this.localZone = localZone;
    }

    void addMethod(MethodId method) {
        methods.add(method);
    }

    /** The table's number. */
    public TableId id() {
        return id;
    }

    /** The shard whose proxies share the table. */
    public ProxyShard shard() {
        return shard;
    }

    /** The table's index in its shard, the same for counterparts in all shards. */
    public int index() {
        return index;
    }

    /** The methods that use the table. */
    public List<MethodId> methods() {
        return methods;
    }

    /**
     * Whether a method is open to the same nodes as the table.
     *
     * @param zone the only zone of nodes and proxies, or null
     */
    public boolean serves(PolicySettings.Method method, ZoneId zone) {
        return restrictions.allowedMachineTypes().equals(method.allowedMachineTypes())
                && restrictions.allowedZones().equals(method.allowedZones())
                && Objects.equals(localZone, zone);
    }

    /**
     * Whether another table is this table or its counterpart in another shard. Each shard has one
     * table per set of allowed nodes, in the same order.
     */
    public boolean isCounterpartOf(ShardTable other) {
        return index == other.index;
    }

    /** Whether the table's restrictions allow the node. */
    public boolean allows(Node node) {
        return (restrictions.allowedMachineTypes().isEmpty()
                        || restrictions.allowedMachineTypes().contains(node.machineType()))
                && (restrictions.allowedZones().isEmpty()
                        || restrictions.allowedZones().contains(node.zone()))
                && (localZone == null || localZone.equals(node.zone()));
    }

    /**
     * Whether the proxy uses the table: it is a member of the table's shard and, if the table is
     * for one zone, runs in that zone.
     */
    public boolean isFor(Proxy proxy) {
        return shard == proxy.shard() && (localZone == null || localZone.equals(proxy.zone()));
    }

    /** The subscribed members that receive the table's updates. */
    public List<Proxy> subscribers() {
        return shard.members().stream()
                .filter(proxy -> proxy.subscribed() && isFor(proxy))
                .toList();
    }

    /** The committed weights, in the order in which the nodes were added. */
    public Map<NodeId, Double> committed() {
        return committedView;
    }

    /** The weights delivered to the proxies, in the order in which the nodes were added. */
    public Map<NodeId, Double> delivered() {
        return deliveredView;
    }

    /** The weights to deliver, 0 for entries to remove, sorted by node. */
    public Map<NodeId, Double> pending() {
        return pendingView;
    }

    /** Whether the delivered weights contain an entry of the node. */
    public boolean holds(NodeId node) {
        return delivered.containsKey(node);
    }

    /** Whether weights or admission limits are pending. */
    public boolean hasPendingDelivery() {
        return !pending.isEmpty() || !pendingLimits.isEmpty();
    }

    /** The sum of all committed weights. */
    public double committedWeight() {
        return committed.values().stream().mapToDouble(w -> w).sum();
    }

    /** The sum of the delivered weights of the nodes that match the predicate. */
    public double deliveredWeight(Predicate<NodeId> nodes) {
        return delivered.entrySet().stream()
                .filter(entry -> nodes.test(entry.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    /** The absolute difference between a node's delivered weight and its pending weight. */
    public double pendingDifference(NodeId node) {
        return Math.abs(pending.get(node) - delivered.getOrDefault(node, 0.0));
    }

    /**
     * Least number of pending entries whose increases in weight, the largest first, add up to the
     * given weight. If the sum of all increases is lower, this is the number of all entries whose
     * weight increases.
     */
    public int entriesToGain(double weight) {
        double[] losses =
                pending.entrySet().stream()
                        .mapToDouble(
                                entry ->
                                        delivered.getOrDefault(entry.getKey(), 0.0)
                                                - entry.getValue())
                        .filter(loss -> loss < 0)
                        .sorted()
                        .toArray();
        double remaining = weight;
        int entries = 0;
        while (entries < losses.length && remaining > 0) {
            remaining += losses[entries++];
        }
        return entries;
    }

    private static void put(Map<NodeId, Double> weights, NodeId node, double weight) {
        weights.compute(node, (same, old) -> weight > 0 ? Double.valueOf(weight) : null);
    }

    /**
     * Commits a weight, 0 to remove the entry. It overwrites the node's pending weight; if it
     * equals the delivered weight, the node is no longer pending.
     */
    public void commit(NodeId node, double weight) {
        pendingCountsValid = false;
        put(committed, node, weight);
        if (delivered.getOrDefault(node, 0.0) == weight) {
            pending.remove(node);
        } else {
            pending.put(node, weight);
        }
    }

    /** Starts a new version of the committed table. */
    public void nextVersion() {
        version++;
    }

    /** The version of the committed table. */
    public long version() {
        return version;
    }

    /** Moves a pending weight to the delivered weights and returns it. */
    public double deliverPending(NodeId node) {
        double weight = pending.remove(node);
        put(delivered, node, weight);
        pendingCountsValid = false;
        return weight;
    }

    /**
     * Sets a node's delivered weight. If it differs from the committed weight, the committed weight
     * is pending.
     *
     * @return whether the delivered weight has changed
     */
    public boolean setDeliveredWeight(NodeId node, double weight) {
        double committedWeight = committed.getOrDefault(node, 0.0);
        boolean changed = delivered.getOrDefault(node, 0.0) != weight;
        put(delivered, node, weight);
        put(pending, node, weight == committedWeight ? 0 : committedWeight);
        return changed;
    }

    /** Number of parts into which shards split the entries; 1 unless the table is partial. */
    public long parts() {
        return parts;
    }

    /** Sets the number of parts into which the entries are split over shards. */
    public void splitInto(long count) {
        parts = count;
    }

    /** The admission limit of a method, infinite if the method has none. */
    public double admissionLimit(MethodId method) {
        return admissionLimits.getOrDefault(method, Double.POSITIVE_INFINITY);
    }

    /** Sets a pending admission limit; an urgent limit does not wait for the delivery in flight. */
    public void setAdmissionLimit(MethodId method, double limit, boolean urgent) {
        limitUrgent |= urgent;
        admissionLimits.put(method, limit);
        pendingLimits.put(method, limit);
        version++;
    }

    void copyAdmissionLimits(ShardTable other) {
        admissionLimits.putAll(other.admissionLimits);
        pendingLimits.putAll(other.admissionLimits);
    }

    /** Number of pending admission limits. */
    public int pendingLimits() {
        return pendingLimits.size();
    }

    /** Passes all pending admission limits to the writer; none is pending afterwards. */
    public void deliverPendingLimits(BiConsumer<MethodId, Double> writer) {
        pendingLimits.forEach(writer);
        pendingLimits.clear();
        limitUrgent = false;
    }

    /** Whether a pending admission limit does not wait for the delivery in flight. */
    public boolean limitUrgent() {
        return limitUrgent;
    }

    /** Records the sequence number and clock reading of the message that carries a delivery. */
    public void deliveryStarted(long sequence, long now) {
        deliverySequence = sequence;
        deliveredAt = now;
    }

    /** Records a proxy that the delivery is sent to. */
    public void deliveredTo(ProxyId proxy) {
        unacknowledged.add(proxy);
    }

    /** Sequence number of the message that carries the last delivery. */
    public long deliverySequence() {
        return deliverySequence;
    }

    /** Number of proxies that have not acknowledged the delivery in flight; 0 if there is none. */
    public int unacknowledged() {
        return unacknowledged.size();
    }

    /** Whether a delivery is in flight. */
    public boolean inFlight() {
        return !unacknowledged.isEmpty();
    }

    /** The proxies that have not acknowledged the delivery in flight, in order. */
    public Iterable<ProxyId> unacknowledgedProxies() {
        return unacknowledged;
    }

    /** Whether the delivery in flight has been unacknowledged for longer than the timeout. */
    public boolean deliveryTimedOut(long now, long timeoutNanos) {
        return !unacknowledged.isEmpty() && now - deliveredAt > timeoutNanos;
    }

    /** Records that a proxy acknowledged a message, and thereby all earlier ones. */
    public void acknowledged(ProxyId proxy, long sequence) {
        if (deliverySequence <= sequence) {
            unacknowledged.remove(proxy);
        }
    }

    /** Stops waiting for the acknowledgement of a proxy that has left. */
    public void forget(ProxyId proxy) {
        unacknowledged.remove(proxy);
    }

    /** Closes the delivery in flight, regardless of missing acknowledgements. */
    public void closeDelivery() {
        unacknowledged.clear();
    }

    /** Whether the counts of pending entries are up to date. */
    public boolean pendingCountsValid() {
        return pendingCountsValid;
    }

    /** Invalidates the counts of pending entries, which also depend on the nodes and on time. */
    public void invalidatePendingCounts() {
        pendingCountsValid = false;
    }

    /**
     * Sets the counts of pending entries, which stay valid until a weight is committed or delivered
     * or {@link #invalidatePendingCounts} is called.
     */
    public void setPendingCounts(int removals, int urgent) {
        pendingRemovals = removals;
        urgentEntries = urgent;
        pendingCountsValid = true;
    }

    /** Number of pending entries of nodes that are not ready. */
    public int pendingRemovals() {
        return pendingRemovals;
    }

    /** Number of pending entries, with removals, that must not wait for a delivery in flight. */
    public int urgentEntries() {
        return urgentEntries;
    }

    /**
     * Whether the table is in panic mode: so much of its capacity is ejected that all nodes count
     * as healthy.
     */
    public boolean panicking() {
        return panicking;
    }

    /** Sets whether the table is in panic mode, in which all nodes count as healthy. */
    public void setPanicking(boolean panic) {
        panicking = panic;
    }
}
