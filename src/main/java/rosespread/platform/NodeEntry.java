package rosespread.platform;

import java.net.InetSocketAddress;
import rosespread.api.EventHandler.NodeState;

/**
 * A node as discovery lists it.
 *
 * @param address where it takes requests; null if the node is gone and none is given
 * @param kind its machine type
 * @param startedMillis wall clock of its last start, 0 if long ago
 */
record NodeEntry(
        String name,
        InetSocketAddress address,
        String zone,
        String kind,
        double weight,
        NodeState state,
        long startedMillis) {}
