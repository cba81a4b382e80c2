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
 * Node information that proxies have without a controller: node names by port, and the nodes of a
 * proxy's initial tables. Confined to the loop's thread.
 */
final class NodeDirectory {
    private static final String LOOPBACK = "127.0.0.1";

    /** With fewer nodes than this in a zone, initial tables are drawn from all zones. */
    private static final int MIN_ZONE_NODES = 3;

    private final FakeNodeList list;
    private final int initialEntries;
    private final Map<Integer, String> namesByPort = new HashMap<>();

    /** Creates a directory with the names of the nodes listed at present. */
    NodeDirectory(FakeNodeList list, int initialEntries) {
        this.list = list;
        this.initialEntries = initialEntries;
        list.addresses().forEach((name, address) -> namesByPort.put(address.getPort(), name));
    }

    String name(int port) {
        return namesByPort.getOrDefault(port, "port-" + port);
    }

    /** Draws the nodes of the initial table of a method, for a proxy of a zone. */
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
