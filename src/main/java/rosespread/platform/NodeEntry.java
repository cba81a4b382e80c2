package rosespread.platform;

import java.net.InetSocketAddress;
import rosespread.api.EventHandler.NodeState;

/**
 * A node as discovery lists it.
 *
 * @param address where the node accepts requests; null if it is gone and the list gives none
 * @param kind the node's machine type
 * @param startedMillis wall-clock time of the node's last start, 0 if long ago
 */
record NodeEntry(
        String name,
        InetSocketAddress address,
        String zone,
        String kind,
        double weight,
        NodeState state,
        long startedMillis) {}
