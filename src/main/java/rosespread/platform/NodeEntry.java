package rosespread.platform;

import java.net.InetSocketAddress;
import rosespread.api.EventHandler.NodeState;

/**
 * A node as discovery has it.
 *
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
