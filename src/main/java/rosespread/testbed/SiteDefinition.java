package rosespread.testbed;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the fakes of a site are like. Controllers learn nothing of it this way.
 *
 * @param zones names of zones, over which nodes and proxies are spread in turn
 * @param machineTypes by name
 * @param methods in the order of their numbers on the channel
 * @param queuePerCore how many RPCs may wait at a node for each of its cores
 * @param reportPeriodNanos the time between two load reports of a proxy
 * @param reportDelayNanos how late a load report is sent
 */
public record SiteDefinition(
        List<String> zones,
        Map<String, MachineType> machineTypes,
        List<Method> methods,
        Proxies proxies,
        WarmUp warmUp,
        double queuePerCore,
        long reportPeriodNanos,
        long reportDelayNanos) {

    /** The method of a name; empty if the site has none. */
    public Optional<Method> method(String name) {
        return methods.stream().filter(method -> method.name().equals(name)).findFirst();
    }

    /**
     * A type of machine.
     *
     * @param speed work done in a second by a core
     * @param nodes how many nodes of the type there are
     */
    public record MachineType(int cores, double speed, int nodes) {}

    /** What a repeated call of a method does. The names are read from scenario files. */
    public enum Effect {
        /** No more than a single one. */
        IDEMPOTENT,
        /** Nothing more within a time, if it carries the token of the first. */
        TOKENED,
        /** It takes effect again. */
        NON_IDEMPOTENT
    }

    /**
     * A method and its contract.
     *
     * @param share of all RPCs, relative to the other methods
     * @param workNanos mean work of an RPC at speed 1
     * @param latencyObjectiveNanos an answer by then is worth its full weight
     * @param deadlineNanos an answer after this is worth nothing
     * @param priorityWeight what an RPC is worth
     * @param lateValueRatio the part of the weight that an answer between objective and deadline is
     *     worth
     * @param tokenWindowNanos how long the nodes of a zone drop a repeat of a token
     * @param machineTypes the types that serve it; empty: all
     */
    public record Method(
            String name,
            double share,
            long workNanos,
            long latencyObjectiveNanos,
            long deadlineNanos,
            double priorityWeight,
            double lateValueRatio,
            Effect effect,
            long tokenWindowNanos,
            List<String> machineTypes) {
        /** Whether nodes of a machine type serve it. */
        public boolean isServedBy(String machineType) {
            return machineTypes.isEmpty() || machineTypes.contains(machineType);
        }
    }

    /**
     * What proxies are like.
     *
     * @param avoidAfterFailures failures in a row after which a proxy avoids a node by itself; 0:
     *     it never does
     * @param stallPerEntryNanos how long taking up a table's entry holds a proxy up
     * @param meanDelayNanos mean time of a message to a proxy
     * @param maxDelayNanos the longest such time
     * @param initialEntries how many nodes the tables have with which a proxy starts
     * @param minReconnectNanos the least pause before a proxy dials again
     * @param maxReconnectNanos the greatest such pause
     * @param entriesPerSecond what a controller's link carries
     */
    public record Proxies(
            int count,
            Pick pick,
            int avoidAfterFailures,
            long stallPerEntryNanos,
            long meanDelayNanos,
            long maxDelayNanos,
            int initialEntries,
            long minReconnectNanos,
            long maxReconnectNanos,
            double entriesPerSecond) {}

    /** How a proxy picks a node by weight. The names are read from scenario files. */
    public enum Pick {
        /** Weighted round robin. */
        ROUND,
        /** At random by weight. */
        RANDOM,
        /** The one with fewer RPCs in flight of two that were drawn by weight. */
        BEST_OF_TWO
    }

    /**
     * How a node warms up and what it bears meanwhile.
     *
     * @param initialRatio the part of its capacity that a node starts with
     * @param windowNanos the time over which the work that it is sent is summed up
     * @param overloadFactor a node is overloaded by so many times of what it can do in a window
     */
    public record WarmUp(
            long durationNanos, double initialRatio, long windowNanos, double overloadFactor) {}
}
