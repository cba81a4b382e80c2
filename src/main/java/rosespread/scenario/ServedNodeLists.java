package rosespread.scenario;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.EventHandler.NodeState;
import rosespread.testbed.TrafficRecorder.NodeListing;

/**
 * The node list that each controller last received, and thus the nodes known to the controller.
 * Confined to the loop's thread.
 */
final class ServedNodeLists {
    /** Receives changes of node states in the order in which they were listed. */
    interface Listener {
        /** Called before the state of a node changes. */
        void stateChanging(ObservedNode node);

        /** Called when a controller learns that a node must not be used any more. */
        void nodeWithdrawn(String controller);
    }

    private final Map<String, Map<String, ObservedNode>> byController = new TreeMap<>();
    private final Listener listener;

    ServedNodeLists(Listener listener) {
        this.listener = listener;
    }

    /** Records that a controller received this list. */
    void served(long nanos, String controller, Map<String, NodeListing> listings) {
        Map<String, ObservedNode> nodes =
                byController.computeIfAbsent(controller, c -> new TreeMap<>());
        listings.forEach(
                (name, listing) ->
                        listed(
                                nanos,
                                controller,
                                nodes.computeIfAbsent(name, n -> new ObservedNode()),
                                listing));
        nodes.forEach(
                (name, node) -> {
                    if (!listings.containsKey(name)) {
                        unlisted(nanos, controller, node);
                    }
                });
    }

    private void listed(long nanos, String controller, ObservedNode node, NodeListing listing) {
        if (node.state() != listing.state()) {
            listener.stateChanging(node);
            if (listing.state() != NodeState.READY) {
                listener.nodeWithdrawn(controller);
            }
        }
        node.listed(nanos, listing);
    }

    private void unlisted(long nanos, String controller, ObservedNode node) {
        if (node.isReady()) {
            listener.nodeWithdrawn(controller);
        }
        node.unlisted(nanos);
    }

    /**
     * Drops the list of a controller whose process has ended, since the process's copy of the list
     * is lost.
     */
    void forget(String controller) {
        byController.remove(controller);
    }

    /**
     * Treats the lists sent to a controller while it was suspended as received when it was resumed.
     */
    void deferChangesUntilResume(String controller, long suspendedNanos, long resumedNanos) {
        nodes(controller)
                .forEach(node -> node.deferChangesUntilResume(suspendedNanos, resumedNanos));
    }

    /** A node as a controller knows it; null if no list that the controller received names it. */
    ObservedNode node(String controller, String name) {
        return byController.getOrDefault(controller, Map.of()).get(name);
    }

    Collection<ObservedNode> nodes(String controller) {
        return byController.getOrDefault(controller, Map.of()).values();
    }

    /** Whether a controller has received a list with at least one node. */
    boolean isServed(String controller) {
        return !byController.getOrDefault(controller, Map.of()).isEmpty();
    }

    /** The nodes of all controllers. */
    Iterable<ObservedNode> all() {
        return () -> byController.values().stream().flatMap(n -> n.values().stream()).iterator();
    }
}
