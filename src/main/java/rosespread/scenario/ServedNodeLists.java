package rosespread.scenario;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.EventHandler.NodeState;
import rosespread.testbed.TrafficRecorder.NodeListing;

/**
 * The node lists as each controller was last answered: what a controller can know. Confined to the
 * loop's thread.
 */
final class ServedNodeLists {
    /** Takes changes of a node's state, in the order in which they were listed. */
    interface Listener {
        /** The state of a node is about to change. */
        void stateChanging(ObservedNode node);

        /** A controller learned that a node is not to be used any more. */
        void nodeWithdrawn(String controller);
    }

    private final Map<String, Map<String, ObservedNode>> byController = new TreeMap<>();
    private final Listener listener;

    ServedNodeLists(Listener listener) {
        this.listener = listener;
    }

    /** A controller was answered with this list. */
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

    /** The controller's process has ended: it knows nothing any more. */
    void forget(String controller) {
        byController.remove(controller);
    }

    /** What a controller was sent while it stood still counts from its resumption on. */
    void deferChangesUntilResume(String controller, long suspendedNanos, long resumedNanos) {
        nodes(controller)
                .forEach(node -> node.deferChangesUntilResume(suspendedNanos, resumedNanos));
    }

    /** A node as a controller knows it; null if no list it was sent named it. */
    ObservedNode node(String controller, String name) {
        return byController.getOrDefault(controller, Map.of()).get(name);
    }

    Collection<ObservedNode> nodes(String controller) {
        return byController.getOrDefault(controller, Map.of()).values();
    }

    /** Whether a controller was sent any node by now. */
    boolean isServed(String controller) {
        return !byController.getOrDefault(controller, Map.of()).isEmpty();
    }

    /** The nodes of all controllers. */
    Iterable<ObservedNode> all() {
        return () -> byController.values().stream().flatMap(n -> n.values().stream()).iterator();
    }
}
