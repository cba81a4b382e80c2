package rosespread.policy.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;

/**
 * A group's table for methods open to the same nodes: what is committed, what was laid at the
 * proxies, and the one pending delivery between the two.
 */
public final class ShardTable {
    public final TableId id;
    public final ProxyShard group;
    public final PolicySettings.Method like;
    public final ZoneId home;
    public final List<MethodId> methods = new ArrayList<>();
    public final Map<NodeId, Double> committed = new LinkedHashMap<>();
    public final Map<NodeId, Double> laid = new LinkedHashMap<>();
    public final TreeMap<NodeId, Double> pending = new TreeMap<>();
    public final TreeMap<MethodId, Double> levels = new TreeMap<>();
    public final TreeMap<MethodId, Double> pendingLevels = new TreeMap<>();
    public final TreeSet<ProxyId> inFlight = new TreeSet<>();
    public long version;
    public long flightSequence;
    public long sentAt = Node.NEVER;
    public long parts = 1;
    public int drained;
    public int pressing;

    /** Whether the two counts above still hold. */
    public boolean counted;

    public boolean panic;
    public boolean abrupt;

    /**
     * @param home the only zone of nodes and proxies, or null
     */
    public ShardTable(TableId id, ProxyShard group, PolicySettings.Method like, ZoneId home) {
        this.id = id;
        this.group = group;
        this.like = like;
        this.home = home;
    }

    /** Whether a method is open to the same nodes. */
    public boolean serves(PolicySettings.Method method, ZoneId zone) {
        return like.allowedMachineTypes().equals(method.allowedMachineTypes())
                && like.allowedZones().equals(method.allowedZones())
                && Objects.equals(home, zone);
    }

    /** Whether it may name the node. */
    public boolean open(Node node) {
        return (like.allowedMachineTypes().isEmpty()
                        || like.allowedMachineTypes().contains(node.kind))
                && (like.allowedZones().isEmpty() || like.allowedZones().contains(node.zone))
                && (home == null || home.equals(node.zone));
    }

    /** Whether the proxy is to have it. */
    public boolean usedBy(Proxy proxy) {
        return group == proxy.group && (home == null || home.equals(proxy.zone));
    }

    /** The bound proxies that get what is written to it. */
    public List<Proxy> users() {
        return group.members.values().stream()
                .filter(proxy -> proxy.bound && usedBy(proxy))
                .toList();
    }

    /**
     * How many pending lines, those that gain most first, add up to so much weight; all if they
     * don't.
     */
    public int linesToGain(double weight) {
        double[] losses =
                pending.entrySet().stream()
                        .mapToDouble(
                                line -> laid.getOrDefault(line.getKey(), 0.0) - line.getValue())
                        .filter(loss -> loss < 0)
                        .sorted()
                        .toArray();
        double missing = weight;
        int lines = 0;
        while (lines < losses.length && missing > 0) {
            missing += losses[lines++];
        }
        return lines;
    }

    /** Sets a line of one of its maps; weight 0 takes it out. */
    public static void put(Map<NodeId, Double> lines, NodeId id, double weight) {
        lines.compute(id, (same, old) -> weight > 0 ? Double.valueOf(weight) : null);
    }

    /** A newer change overwrites the pending one; one that leads back to what is laid drops out. */
    public void stage(NodeId node, double weight) {
        counted = false;
        put(committed, node, weight);
        if (laid.getOrDefault(node, 0.0) == weight) {
            pending.remove(node);
        } else {
            pending.put(node, weight);
        }
    }
}
