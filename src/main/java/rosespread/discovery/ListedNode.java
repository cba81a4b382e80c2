package rosespread.discovery;

import com.dynatrace.hash4j.hashing.Hashing;
import java.net.InetSocketAddress;
import java.util.Map;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;

/**
 * A node as the list has it. Its id is a hash of the service's id and address: the same for every
 * conductor and over restarts of its process, without any shared numbering.
 *
 * @param startedMillis wall clock of the last start, 0 if long ago or not told
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

    public static NodeId id(String name, String host, int port) {
        return new NodeId(Hashing.wyhashFinal4().hashCharsToLong(name + "@" + host + ":" + port));
    }

    /** What the list calls a node; its id in hexadecimal digits if the list never told of it. */
    public static String name(Map<NodeId, ListedNode> nodes, NodeId id) {
        return nodes.containsKey(id) ? nodes.get(id).name : Long.toHexString(id.value());
    }

    /** The same node as the list would tell of it while it drains, if it is ready now. */
    public ListedNode draining() {
        return state != NodeState.READY
                ? this
                : new ListedNode(
                        id,
                        name,
                        host,
                        port,
                        zone,
                        machineType,
                        weight,
                        NodeState.DRAINING,
                        startedMillis);
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(host, port);
    }
}
