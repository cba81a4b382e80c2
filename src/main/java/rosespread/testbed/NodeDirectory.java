package rosespread.testbed;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.random.RandomGenerator;
import rosespread.api.NodeId;
import rosespread.discovery.ListedNode;

/**
 * What proxies know of nodes without a controller: names by port, and the nodes with which they
 * start. Confined to the loop's thread.
 */
final class NodeDirectory {
    private static final String LOOPBACK = "127.0.0.1";

    /** A zone with fewer nodes than this is too small to start with. */
    private static final int MIN_ZONE_NODES = 3;

    private final FakeNodeList list;
    private final int initialEntries;
    private final Map<Integer, String> namesByPort = new HashMap<>();

    /** Takes the names of the nodes that are listed now. */
    NodeDirectory(FakeNodeList list, int initialEntries) {
        this.list = list;
        this.initialEntries = initialEntries;
        list.addresses().forEach((name, address) -> namesByPort.put(address.getPort(), name));
    }

    String name(int port) {
        return namesByPort.getOrDefault(port, "port-" + port);
    }

    /** Draws the nodes with which a proxy of a zone starts for a method. */
    Map<NodeId, NodeAddress> drawInitial(
            String zone, SiteDefinition.Method method, RandomGenerator random) {
        Map<String, InetSocketAddress> inZone = list.addressesIn(zone);
        List<Map.Entry<String, InetSocketAddress>> candidates =
                new ArrayList<>(
                        (inZone.size() >= MIN_ZONE_NODES ? inZone : list.addresses()).entrySet());
        candidates.removeIf(entry -> !method.isServedBy(list.machineType(entry.getKey())));
        Collections.shuffle(candidates, new Random(random.nextLong()));
        Map<NodeId, NodeAddress> drawn = new LinkedHashMap<>();
        candidates.stream()
                .limit(initialEntries)
                .map(entry -> new NodeAddress(entry.getKey(), entry.getValue()))
                .forEach(node -> drawn.put(id(node), node));
        return drawn;
    }

    private static NodeId id(NodeAddress node) {
        return ListedNode.id(node.name(), LOOPBACK, node.address().getPort());
    }
}
