package rosespread.testbed;

import java.util.Map;
import rosespread.api.EventHandler.NodeState;
import rosespread.channel.Frame;

/**
 * Receives the events that the fakes observe at their ends of the sockets, as they happen and in
 * order of time, on the loop's thread. Times are in nanoseconds of the loop's clock unless a name
 * says otherwise.
 */
public interface TrafficRecorder {
    /**
     * Listing of a node in the node list.
     *
     * @param startedMillis start time of the node's process, in milliseconds since the epoch; 0 if
     *     it was always warm
     */
    record NodeListing(NodeState state, long startedMillis, String machineType) {}

    /**
     * A proxy's copy of a table.
     *
     * @param digest digest over the entries, as the channel defines it
     * @param weights weights by node name
     */
    record TableSnapshot(int table, long version, long digest, Map<String, Double> weights) {}

    /** The node list answered a controller's query with these nodes, by name. */
    default void nodeListServed(long nanos, String controller, Map<String, NodeListing> nodes) {}

    /** A proxy asked to join and reported the highest version of each table that it holds. */
    default void proxyJoined(
            long nanos, String proxy, String controller, Map<Integer, Long> heldVersions) {}

    /** The proxy no longer has a working stream. */
    default void proxyLeft(long nanos, String proxy) {}

    /**
     * A message from a controller arrived at the proxy's socket, before the simulated delay of its
     * link.
     *
     * @param entriesOnLink entries in transit over a slow link, including those of the message
     */
    default void messageArrived(
            long nanos, String proxy, String controller, Frame.Mark mark, double entriesOnLink) {}

    /** The proxy applied a message. */
    default void messageApplied(long nanos, String proxy, String controller, Frame.Mark mark) {}

    /** A message changed a table of the proxy. */
    default void tableChanged(long nanos, String proxy, String controller, TableSnapshot held) {}

    /** The proxy now has a node to pick for a method, or no longer has one. */
    default void availabilityChanged(long nanos, String proxy, String method, boolean available) {}

    /** A proxy started an attempt at a node. */
    default void attemptStarted(
            long nanos, String proxy, String node, long rpc, SiteDefinition.Method method) {}

    /** An attempt failed. */
    default void attemptFailed(
            long nanos, String proxy, String node, long rpc, SiteDefinition.Method method) {}

    /** An RPC took effect at a node. */
    default void effectApplied(long nanos, String node, long rpc, SiteDefinition.Method method) {}

    /** A node started to warm up. */
    default void warmUpStarted(long nanos, String node) {}

    /** A warming node received its first RPC. */
    default void warmingNodeReached(long nanos, String node) {}

    /**
     * A warming node became overloaded.
     *
     * @param startedNanos start time of the node's process
     * @param workByProxy seconds of work that each proxy sent the node in the preceding window
     */
    default void nodeOverloaded(
            long nanos, String node, long startedNanos, Map<String, Double> workByProxy) {}
}
