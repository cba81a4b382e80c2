package rosespread.discovery;

import com.dynatrace.hash4j.hashing.Hashing;
import java.net.InetSocketAddress;
import java.util.Map;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;

/**
 * A node as the node list describes it.
 *
 * @param id a hash of name and address, see {@link #id}
 * @param name the id of the service in the catalogue
 * @param host the host name or address that it serves at
 * @param port the port that it serves at
 * @param zone its zone; empty if not stated
 * @param machineType its machine type; empty if not stated
 * @param weight the weight that the list gives it, 1 if not stated
 * @param state whether it serves, drains or is gone
 * @param startedMillis the wall clock time of its last start in milliseconds since the epoch; 0 if
 *     not stated
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
     * The id of a node: a hash of its name and address, so that all controllers give a node the
     * same id, also after its restarts, without numbering nodes together.
     */
    public static NodeId id(String name, String host, int port) {
        return new NodeId(Hashing.wyhashFinal4().hashCharsToLong(name + "@" + host + ":" + port));
    }

    /** The name of a node, or its id in hexadecimal digits if it is not among these. */
    public static String name(Map<NodeId, ListedNode> nodes, NodeId id) {
        return nodes.containsKey(id) ? nodes.get(id).name : Long.toHexString(id.value());
    }

    /** The same node as draining if it is ready, else this one. */
    public ListedNode draining() {
        if (state != NodeState.READY) {
            return this;
        }
        return new ListedNode(
                id, name, host, port, zone, machineType, weight, NodeState.DRAINING, startedMillis);
    }

    /** The address that it serves at; a host name is resolved by this call, which may block. */
    public InetSocketAddress address() {
        return new InetSocketAddress(host, port);
    }
}
