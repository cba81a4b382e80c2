package rosespread.testbed;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Properties of the simulated nodes and proxies of a site. Controllers have no access to the
 * definition.
 *
 * @param zones names of the zones; nodes and proxies are assigned to zones in turn
 * @param machineTypes machine types by name
 * @param methods methods in the order of their numbers on the channel
 * @param queuePerCore how many RPCs a node queues at most, per core
 * @param reportPeriodNanos time between two load reports of a proxy
 * @param reportDelayNanos time from the end of a report's period until the report is sent
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

    /** Returns the method with a name; empty if the site has none. */
    public Optional<Method> method(String name) {
        return methods.stream().filter(method -> method.name().equals(name)).findFirst();
    }

    /**
     * A machine type.
     *
     * @param speed work that a core does per second, in seconds of work at speed 1
     * @param nodes number of nodes of the type
     */
    public record MachineType(int cores, double speed, int nodes) {}

    /** Effect of a repeated RPC of a method. The names are read from scenario files. */
    public enum Effect {
        /** A repeat has no further effect. */
        IDEMPOTENT,
        /**
         * A repeat with the same idempotency token has no further effect within the token window.
         */
        TOKENED,
        /** A repeat takes effect again. */
        NON_IDEMPOTENT
    }

    /**
     * A method and its contract.
     *
     * @param share share of all RPCs, relative to the other methods
     * @param workNanos mean work of an RPC at speed 1
     * @param latencyObjectiveNanos latency up to which an answer counts with its full weight
     * @param deadlineNanos latency beyond which an answer is worth nothing
     * @param priorityWeight weight of an RPC
     * @param lateValueRatio fraction of the weight with which an answer between objective and
     *     deadline counts
     * @param tokenWindowNanos how long an RPC with a repeated idempotency token has no further
     *     effect at the nodes of a zone
     * @param machineTypes machine types that serve the method; empty for all
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
        /** Returns whether nodes of a machine type serve the method. */
        public boolean isServedBy(String machineType) {
            return machineTypes.isEmpty() || machineTypes.contains(machineType);
        }
    }

    /**
     * Properties of the proxies.
     *
     * @param avoidAfterFailures consecutive failures after which a proxy avoids a node by itself; 0
     *     to avoid none
     * @param stallPerEntryNanos how long a proxy is blocked by applying one weight entry
     * @param meanDelayNanos mean delay of a message to a proxy
     * @param maxDelayNanos maximum delay of a message to a proxy
     * @param initialEntries maximum number of nodes in a proxy's initial tables
     * @param minReconnectNanos minimum delay before a proxy reconnects
     * @param maxReconnectNanos maximum delay before a proxy reconnects
     * @param entriesPerSecond capacity of a controller's link, in weight entries per second
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
        /** Weighted random choice. */
        RANDOM,
        /** Of two nodes drawn by weight, the one with fewer RPCs in flight. */
        BEST_OF_TWO
    }

    /**
     * Warm-up of a node and the load that overloads a warming node.
     *
     * @param durationNanos duration of the warm-up
     * @param initialRatio fraction of its full capacity that a node has at its start
     * @param windowNanos length of the sliding window over which the work sent to the node is
     *     summed
     * @param overloadFactor the node is overloaded by more than this multiple of the work that it
     *     can do in a window at its current capacity
     */
    public record WarmUp(
            long durationNanos, double initialRatio, long windowNanos, double overloadFactor) {}
}
