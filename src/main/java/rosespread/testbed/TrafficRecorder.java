package rosespread.testbed;

import java.util.Map;
import rosespread.api.EventHandler.NodeState;
import rosespread.channel.Frame;

/**
 * What the stand-ins' ends of the sockets see, told as it happens and in order of time, on the
 * loop's thread. Times in nanoseconds.
 */
public interface TrafficRecorder {
    /** How a node is listed. */
    record NodeListing(NodeState state, long startedMillis, String machineType) {}

    /** The list has answered a conductor with this. */
    default void nodeListServed(long at, String conductor, Map<String, NodeListing> nodes) {}

    /** A proxy asks to be joined and says which versions it was given of tables before. */
    default void proxyJoined(long at, String proxy, String conductor, Map<Integer, Long> held) {}

    /** The proxy has no stream any more, or none that works. */
    default void proxyLeft(long at, String proxy) {}

    /**
     * A message has come; {@code held} lines are on their way through a slow link, its own
     * included.
     */
    default void messageArrived(
            long at, String proxy, String conductor, Frame.Mark mark, double held) {}

    /** A message has been taken up. */
    default void messageApplied(long at, String proxy, String conductor, Frame.Mark mark) {}

    /** What a proxy holds of a table, by the nodes' names. */
    record TableSnapshot(int table, long version, long digest, Map<String, Double> weights) {}

    /** A message changed a table, and the proxy has answered for it. */
    default void tableChanged(long at, String proxy, String conductor, TableSnapshot held) {}

    /** Whether the proxy has a line to pick for a method, from now on. */
    default void availabilityChanged(long at, String proxy, String method, boolean any) {}

    default void attemptStarted(
            long at, String proxy, String node, long rpc, SiteDefinition.Method method) {}

    /** A try had no good answer. */
    default void attemptFailed(
            long at, String proxy, String node, long rpc, SiteDefinition.Method method) {}

    default void effectApplied(long at, String node, long rpc, SiteDefinition.Method method) {}

    /** A node has begun to warm up. */
    default void warmUpStarted(long at, String node) {}

    /** The first RPC that a cold node got. */
    default void warmingNodeReached(long at, String node) {}

    /** A cold node fell over; seconds of work that each proxy sent it in the window before. */
    default void nodeOverloaded(long at, String node, long startedAt, Map<String, Double> work) {}
}
