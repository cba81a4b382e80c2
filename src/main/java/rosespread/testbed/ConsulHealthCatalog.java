package rosespread.testbed;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rosespread.api.EventHandler.NodeState;
import rosespread.testbed.TrafficRecorder.NodeListing;

/**
 * The nodes registered at present and their JSON form at Consul's health endpoint. Confined to the
 * loop's thread.
 */
final class ConsulHealthCatalog {
    /** Name of the service that all nodes belong to. */
    static final String SERVICE = "nodes";

    private static final String LOOPBACK = "127.0.0.1";

    /** The catalogue at one time: its JSON, and the same listings by node name. */
    record Snapshot(long index, String body, Map<String, NodeListing> nodes) {}

    /** A node's registration; {@code startedMillis} since the epoch, 0 if it was always warm. */
    private record Registration(FakeNode.Identity node, long startedMillis, boolean draining) {
        NodeListing toListing() {
            return new NodeListing(
                    draining ? NodeState.DRAINING : NodeState.READY,
                    startedMillis,
                    node.machineType());
        }
    }

    private final Map<String, Registration> registrations = new TreeMap<>();
    private long index = 10;

    void put(FakeNode.Identity node, long startedMillis) {
        registrations.put(node.name(), new Registration(node, startedMillis, false));
    }

    void remove(String name) {
        registrations.remove(name);
    }

    /** Puts a node into maintenance or takes it out, if it is registered. */
    void setDraining(String name, boolean draining) {
        registrations.computeIfPresent(
                name,
                (key, before) -> new Registration(before.node(), before.startedMillis(), draining));
    }

    /**
     * Returns the addresses of a zone's nodes, or of all nodes if the zone is empty, by node name.
     */
    Map<String, InetSocketAddress> addresses(Optional<String> zone) {
        Map<String, InetSocketAddress> addresses = new TreeMap<>();
        for (Registration registration : registrations.values()) {
            FakeNode.Identity node = registration.node();
            if (zone.isEmpty() || zone.get().equals(node.zone())) {
                addresses.put(node.name(), node.address());
            }
        }
        return addresses;
    }

    /** Returns the machine type of a node; empty if the node is not registered. */
    String machineType(String name) {
        Registration registration = registrations.get(name);
        return registration == null ? "" : registration.node().machineType();
    }

    /** Renders the catalogue and assigns it the next index. */
    Snapshot snapshot() {
        ArrayNode body = JsonNodeFactory.instance.arrayNode();
        Map<String, NodeListing> nodes = new TreeMap<>();
        registrations.forEach(
                (name, registration) -> {
                    write(body.addObject(), registration);
                    nodes.put(name, registration.toListing());
                });
        index++;
        return new Snapshot(index, body.toString(), nodes);
    }

    private static void write(ObjectNode entry, Registration registration) {
        FakeNode.Identity node = registration.node();
        entry.putObject("Node")
                .put("Node", "machine-" + node.name())
                .put("Address", node.address().getHostString());
        ObjectNode service = entry.putObject("Service");
        service.put("ID", node.name())
                .put("Service", SERVICE)
                .put("Address", LOOPBACK)
                .put("Port", node.address().getPort());
        service.putArray("Tags").add("zone=" + node.zone());
        service.putObject("Meta")
                .put("kind", node.machineType())
                .put("started", String.valueOf(registration.startedMillis()));
        service.putObject("Weights").put("Passing", 1).put("Warning", 1);
        ArrayNode checks = entry.putArray("Checks");
        checks.addObject().put("CheckID", "serfHealth").put("Status", "passing");
        if (registration.draining()) {
            checks.addObject()
                    .put("CheckID", "_service_maintenance:" + node.name())
                    .put("Status", "critical");
        }
    }
}
