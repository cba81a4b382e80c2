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
 * A shard's table for methods open to the same nodes: the committed weights, those delivered to the
 * proxies, and the one pending delivery that leads from the latter to the former. A node is pending
 * exactly if its delivered weight differs from the committed one; a weight is never 0 but in the
 * pending delivery, where 0 removes the entry.
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
    private boolean counted;
    private boolean panicking;
    private boolean limitUrgent;

    /**
     * Creates an empty table.
     *
     * @param id the table's number
     * @param shard whose proxies share it
     * @param index its place among the shard's tables
     * @param restrictions a method whose allowed nodes are the table's
     * @param localZone the only zone of nodes and proxies, or null
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

    /** The shard whose proxies share it. */
    public ProxyShard shard() {
        return shard;
    }

    /** Its place among the shard's tables, the same for like tables of all shards. */
    public int index() {
        return index;
    }

    /** The methods that follow it. */
    public List<MethodId> methods() {
        return methods;
    }

    /** Whether a method is open to the same nodes. */
    public boolean serves(PolicySettings.Method method, ZoneId zone) {
        return restrictions.allowedMachineTypes().equals(method.allowedMachineTypes())
                && restrictions.allowedZones().equals(method.allowedZones())
                && Objects.equals(localZone, zone);
    }

    /**
     * Whether another table is open to the same nodes: each shard has one table for each set of
     * nodes, in the same order.
     */
    public boolean isCounterpartOf(ShardTable other) {
        return index == other.index;
    }

    /** Whether it may name the node. */
    public boolean allows(Node node) {
        return (restrictions.allowedMachineTypes().isEmpty()
                        || restrictions.allowedMachineTypes().contains(node.machineType()))
                && (restrictions.allowedZones().isEmpty()
                        || restrictions.allowedZones().contains(node.zone()))
                && (localZone == null || localZone.equals(node.zone()));
    }

    /** Whether the proxy is to have it. */
    public boolean isFor(Proxy proxy) {
        return shard == proxy.shard() && (localZone == null || localZone.equals(proxy.zone()));
    }

    /** The subscribed proxies that get what is written to it. */
    public List<Proxy> subscribers() {
        return shard.members().stream()
                .filter(proxy -> proxy.subscribed() && isFor(proxy))
                .toList();
    }

    /** The committed weights, in the order in which nodes came in. */
    public Map<NodeId, Double> committed() {
        return committedView;
    }

    /** The weights at the proxies, in the order in which nodes came in. */
    public Map<NodeId, Double> delivered() {
        return deliveredView;
    }

    /** The weights to be delivered, 0 for entries to remove, in the order of the nodes. */
    public Map<NodeId, Double> pending() {
        return pendingView;
    }

    /** Whether the proxies hold an entry of the node. */
    public boolean holds(NodeId node) {
        return delivered.containsKey(node);
    }

    /** Whether weights or admission limits are to be delivered. */
    public boolean hasPendingDelivery() {
        return !pending.isEmpty() || !pendingLimits.isEmpty();
    }

    /** The sum of all committed weights. */
    public double committedWeight() {
        return committed.values().stream().mapToDouble(w -> w).sum();
    }

    /** The sum of the weights at the proxies of these nodes. */
    public double deliveredWeight(Predicate<NodeId> nodes) {
        return delivered.entrySet().stream()
                .filter(entry -> nodes.test(entry.getKey()))
                .mapToDouble(Map.Entry::getValue)
                .sum();
    }

    /** How far a node's delivered weight is from the pending one. */
    public double pendingDifference(NodeId node) {
        return Math.abs(pending.get(node) - delivered.getOrDefault(node, 0.0));
    }

    /**
     * How many pending entries, those that gain most first, add up to so much weight; all of them
     * if they don't.
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
        double missing = weight;
        int entries = 0;
        while (entries < losses.length && missing > 0) {
            missing += losses[entries++];
        }
        return entries;
    }

    private static void put(Map<NodeId, Double> weights, NodeId node, double weight) {
        weights.compute(node, (same, old) -> weight > 0 ? Double.valueOf(weight) : null);
    }

    /** Commits a weight; a newer one overwrites the pending one, a return to it drops out. */
    public void commit(NodeId node, double weight) {
        counted = false;
        put(committed, node, weight);
        if (delivered.getOrDefault(node, 0.0) == weight) {
            pending.remove(node);
        } else {
            pending.put(node, weight);
        }
    }

    /** Counts a new version of what is committed. */
    public void nextVersion() {
        version++;
    }

    /** The version of what is committed. */
    public long version() {
        return version;
    }

    /** Takes a pending weight as delivered and returns it. */
    public double deliverPending(NodeId node) {
        double weight = pending.remove(node);
        put(delivered, node, weight);
        counted = false;
        return weight;
    }

    /**
     * Takes a weight as delivered that may differ from the committed one, which is pending then.
     *
     * @return whether the delivered weight has changed
     */
    public boolean setDeliveredWeight(NodeId node, double weight) {
        double wanted = committed.getOrDefault(node, 0.0);
        boolean changed = delivered.getOrDefault(node, 0.0) != weight;
        put(delivered, node, weight);
        put(pending, node, weight == wanted ? 0 : wanted);
        return changed;
    }

    /** In how many parts its entries are dealt to shards; 1 unless it is partial. */
    public long parts() {
        return parts;
    }

    /** Sets in how many parts its entries are dealt to shards. */
    public void splitInto(long count) {
        parts = count;
    }

    /** The admission limit of a method, infinite if there is none. */
    public double admissionLimit(MethodId method) {
        return admissionLimits.getOrDefault(method, Double.POSITIVE_INFINITY);
    }

    /** Sets an admission limit, to be delivered; an urgent one waits for no other delivery. */
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

    /** How many admission limits are to be delivered. */
    public int pendingLimits() {
        return pendingLimits.size();
    }

    /** Hands over all admission limits to be delivered; none is pending then. */
    public void deliverPendingLimits(BiConsumer<MethodId, Double> writer) {
        pendingLimits.forEach(writer);
        pendingLimits.clear();
        limitUrgent = false;
    }

    /** Whether an admission limit waits for no other delivery. */
    public boolean limitUrgent() {
        return limitUrgent;
    }

    /** Notes the message that a delivery leaves with. */
    public void deliveryStarted(long sequence, long now) {
        deliverySequence = sequence;
        deliveredAt = now;
    }

    /** Notes a proxy that the delivery leaves for. */
    public void deliveredTo(ProxyId proxy) {
        unacknowledged.add(proxy);
    }

    /** The message that the last delivery left with. */
    public long deliverySequence() {
        return deliverySequence;
    }

    /** How many proxies have not acknowledged the delivery in flight; 0 if there is none. */
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

    /** Whether a delivery is in flight for longer than this. */
    public boolean deliveryTimedOut(long now, long timeoutNanos) {
        return !unacknowledged.isEmpty() && now - deliveredAt > timeoutNanos;
    }

    /** A proxy acknowledged a message, and with it what was delivered up to it. */
    public void acknowledged(ProxyId proxy, long sequence) {
        if (deliverySequence <= sequence) {
            unacknowledged.remove(proxy);
        }
    }

    /** A proxy left: its acknowledgement is not waited for any more. */
    public void forget(ProxyId proxy) {
        unacknowledged.remove(proxy);
    }

    /** Closes the delivery in flight, whoever has acknowledged it. */
    public void closeDelivery() {
        unacknowledged.clear();
    }

    /** Whether the counts of pending entries hold. */
    public boolean pendingCountsValid() {
        return counted;
    }

    /** Drops the counts of pending entries, as they depend on the nodes and on time too. */
    public void invalidatePendingCounts() {
        counted = false;
    }

    /** Keeps the counts of pending entries until something changes. */
    public void setPendingCounts(int removals, int urgent) {
        pendingRemovals = removals;
        urgentEntries = urgent;
        counted = true;
    }

    /** The counted pending entries of nodes that are not ready. */
    public int pendingRemovals() {
        return pendingRemovals;
    }

    /** The counted pending entries that can't wait, removals among them. */
    public int urgentEntries() {
        return urgentEntries;
    }

    /** Whether so many nodes are ejected that all count as healthy. */
    public boolean panicking() {
        return panicking;
    }

    /** Sets whether all nodes count as healthy. */
    public void setPanicking(boolean panic) {
        panicking = panic;
    }
}
