package rosespread.discovery;

import com.dynatrace.hash4j.hashing.Hashing;
import java.net.InetSocketAddress;
import java.util.Map;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;

/**
 * A node of the node list.
 *
 * @param id a hash of name, host and port, see {@link #id}
 * @param name the id of the service in the catalog
 * @param host the host name or IP address that the node serves at
 * @param port the port that the node serves at
 * @param zone the zone of the node; empty if not stated
 * @param machineType the machine type of the node; empty if not stated
 * @param weight the weight in the list; 1 if not stated
 * @param state whether the node is ready, draining or gone
 * @param startedMillis the wall clock time of the node's last start in milliseconds since the
 *     epoch; 0 if not stated
 */
public record ListedNode(
        NodeId id,
        String name,
        String host,
        int port,
        String zone,
        String machineType,
        double weight,
        NodeState state,
        long startedMillis) {

    /**
     * Computes the id of a node as a hash of its name, host and port. So all controllers use the
     * same id, also after a restart of the node, without having to agree on numbers.
     */
    public static NodeId id(String name, String host, int port) {
        return new NodeId(Hashing.wyhashFinal4().hashCharsToLong(name + "@" + host + ":" + port));
    }

    /** The name of a node, or its id in hexadecimal if {@code nodes} does not contain it. */
    public static String name(Map<NodeId, ListedNode> nodes, NodeId id) {
        return nodes.containsKey(id) ? nodes.get(id).name : Long.toHexString(id.value());
    }

    /** Returns this node in state draining if it is ready, else this node unchanged. */
    public ListedNode draining() {
        if (state != NodeState.READY) {
            return this;
        }
        return new ListedNode(
                id, name, host, port, zone, machineType, weight, NodeState.DRAINING, startedMillis);
    }

    /**
     * The address that the node serves at. A host name is resolved by this call, which may block.
     */
    public InetSocketAddress address() {
        return new InetSocketAddress(host, port);
    }
}
