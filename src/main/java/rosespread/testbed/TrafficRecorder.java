package rosespread.testbed;

import java.util.Map;
import rosespread.api.EventHandler.NodeState;
import rosespread.channel.Frame;

/**
 * Takes what the fakes' ends of the sockets see, as it happens and in order of time, on the loop's
 * thread. Times in nanoseconds of the loop's clock unless a name says otherwise.
 */
public interface TrafficRecorder {
    /**
     * How a node is listed.
     *
     * @param startedMillis when its process started, since the epoch; 0 if it was always warm
     */
    record NodeListing(NodeState state, long startedMillis, String machineType) {}

    /**
     * What a proxy holds of a table.
     *
     * @param digest over its entries, as the channel defines it
     * @param weights by the nodes' names
     */
    record TableSnapshot(int table, long version, long digest, Map<String, Double> weights) {}

    /** The list has answered a controller with these nodes, by name. */
    default void nodeListServed(long nanos, String controller, Map<String, NodeListing> nodes) {}

    /** A proxy asks to be joined and says which versions it was sent of tables before. */
    default void proxyJoined(
            long nanos, String proxy, String controller, Map<Integer, Long> heldVersions) {}

    /** The proxy has no stream any more, or none that works. */
    default void proxyLeft(long nanos, String proxy) {}

    /**
     * A message has come.
     *
     * @param onLink entries on their way over a slow link, those of the message included
     */
    default void messageArrived(
            long nanos, String proxy, String controller, Frame.Mark mark, double onLink) {}

    /** A message has been applied. */
    default void messageApplied(long nanos, String proxy, String controller, Frame.Mark mark) {}

    /** A message changed a table that the proxy holds. */
    default void tableChanged(long nanos, String proxy, String controller, TableSnapshot held) {}

    /** From now on the proxy has, or lacks, a node to pick for a method. */
    default void availabilityChanged(long nanos, String proxy, String method, boolean available) {}

    /** A proxy sends an RPC to a node. */
    default void attemptStarted(
            long nanos, String proxy, String node, long rpc, SiteDefinition.Method method) {}

    /** An attempt had no good answer. */
    default void attemptFailed(
            long nanos, String proxy, String node, long rpc, SiteDefinition.Method method) {}

    /** An RPC takes effect at a node. */
    default void effectApplied(long nanos, String node, long rpc, SiteDefinition.Method method) {}

    /** A node has begun to warm up. */
    default void warmUpStarted(long nanos, String node) {}

    /** The first RPC came to a node that warms up. */
    default void warmingNodeReached(long nanos, String node) {}

    /**
     * A node that warms up was overloaded.
     *
     * @param startedNanos when its process started
     * @param workByProxy seconds of work that each proxy sent it in the window before
     */
    default void nodeOverloaded(
            long nanos, String node, long startedNanos, Map<String, Double> workByProxy) {}
}
