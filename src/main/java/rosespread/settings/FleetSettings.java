package rosespread.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntFunction;
import rosespread.api.MachineTypeId;
import rosespread.api.PolicySettings;
import rosespread.api.ZoneId;

/**
 * The settings that an operator applies, with names instead of ids. Some of them become the
 * policy's {@link PolicySettings}; the others configure discovery, health checks, the channel to
 * the proxies, and drains.
 *
 * @param seed the seed of the policy's random numbers
 * @param zones the names of the zones
 * @param machineTypes the names of the machine types
 * @param methods the methods that the fleet serves
 * @param discovery the source of the node list
 * @param healthChecks the settings of health checks
 * @param throttle the unit of admission limits, or none if proxies do not enforce them
 * @param channel rates and limits of the channel to the proxies
 * @param reportPeriodNanos the interval of the reports of proxies and nodes, in nanoseconds
 * @param drainTimeoutNanos the time within which traffic must have left a draining node, in
 *     nanoseconds
 * @param minCapacityRatioWhileDraining the fraction of the capacity of a method's listed nodes that
 *     must remain on ready nodes; an operator's drain that would leave less is rejected unless it
 *     is forced
 * @param peers the control API addresses of all controllers of the fleet, from which drains are
 *     fetched
 * @param warmUp the warm-up of nodes
 */
public record FleetSettings(
        long seed,
        List<String> zones,
        List<String> machineTypes,
        List<Method> methods,
        Discovery discovery,
        HealthChecks healthChecks,
        PolicySettings.Throttle throttle,
        Channel channel,
        long reportPeriodNanos,
        long drainTimeoutNanos,
        double minCapacityRatioWhileDraining,
        List<InetSocketAddress> peers,
        WarmUp warmUp) {

    /**
     * A method.
     *
     * @param priorityWeight the relative value of one of its RPCs for load shedding; methods of the
     *     lowest value are shed first
     * @param allowedMachineTypes the machine types that may serve it; empty if all may
     * @param allowedZones the zones that may serve it; empty if all may
     * @param localZoneOnly whether only nodes in the proxy's own zone may serve the method
     */
    public record Method(
            String name,
            double priorityWeight,
            List<String> allowedMachineTypes,
            List<String> allowedZones,
            boolean localZoneOnly) {}

    /**
     * The service in Consul's health catalogue that lists the nodes.
     *
     * @param onDemand whether a failed query is repeated only when the policy requests it
     * @param blockingWaitNanos how long one query may block for a change, in nanoseconds
     * @param responseTimeoutNanos how long a response may take beyond the blocking wait before the
     *     list counts as unavailable, in nanoseconds
     * @param indexRollbackGraceNanos how long responses must be older than the known list before
     *     they are accepted as those of a newly set up catalogue, in nanoseconds
     */
    public record Discovery(
            String host,
            int port,
            String service,
            boolean onDemand,
            long blockingWaitNanos,
            long responseTimeoutNanos,
            long indexRollbackGraceNanos) {}

    /**
     * Health checks of nodes.
     *
     * @param allowed whether the policy may order health checks
     * @param path the HTTP path of a health check on a node
     * @param timeoutNanos how long a response may take, in nanoseconds
     */
    public record HealthChecks(boolean allowed, String path, long timeoutNanos) {}

    /**
     * Rates and limits of the channel to the proxies.
     *
     * @param entriesPerSecond the rate of the channel in weight entries per second
     * @param messageOverheadEntries the cost of a message without its entries, in entries
     * @param queueLimitEntries the maximum number of queued entries
     * @param channelCost the cost of sending at {@code entriesPerSecond}, as a fraction of the
     *     whole service of the fleet; the policy uses an expensive channel less
     * @param messageLimit the maximum number of messages to a proxy within {@code
     *     messageWindowNanos}; 0 for no limit
     * @param messageWindowNanos the window of the message limit, in nanoseconds
     * @param maxPropagationDelayNanos the maximum time that a message takes from the channel to its
     *     proxy, in nanoseconds
     * @param keepAliveNanos the interval of keep-alives, in nanoseconds
     */
    public record Channel(
            double entriesPerSecond,
            double messageOverheadEntries,
            double queueLimitEntries,
            double channelCost,
            int messageLimit,
            long messageWindowNanos,
            long maxPropagationDelayNanos,
            long keepAliveNanos) {}

    /**
     * The warm-up of nodes after their start.
     *
     * @param durationNanos the maximum duration of a warm-up, in nanoseconds
     * @param coldCapacityRatio the ratio of its full capacity that a node has at its start
     * @param coldOverloadNanos how long a node that is warming up can be overloaded before it
     *     fails, in nanoseconds
     */
    public record WarmUp(long durationNanos, double coldCapacityRatio, long coldOverloadNanos) {}

    /** Returns the settings of the policy. The id of a name is its index in the list of names. */
    public PolicySettings policySettings() {
        return new PolicySettings(
                methods.stream().map(this::policyMethod).toList(),
                zones.size(),
                false,
                discovery.onDemand(),
                healthChecks.allowed(),
                throttle,
                channel.entriesPerSecond(),
                channel.messageOverheadEntries(),
                channel.queueLimitEntries(),
                channel.channelCost(),
                channel.messageLimit(),
                channel.messageWindowNanos(),
                channel.maxPropagationDelayNanos(),
                reportPeriodNanos,
                drainTimeoutNanos,
                warmUp.durationNanos(),
                warmUp.coldCapacityRatio(),
                warmUp.coldOverloadNanos());
    }

    private PolicySettings.Method policyMethod(Method method) {
        return new PolicySettings.Method(
                method.priorityWeight(),
                ids(method.allowedMachineTypes(), machineTypes, MachineTypeId::new),
                ids(method.allowedZones(), zones, ZoneId::new),
                method.localZoneOnly());
    }

    private static <T> Set<T> ids(List<String> names, List<String> all, IntFunction<T> newId) {
        Set<T> ids = new TreeSet<>();
        for (String name : names) {
            ids.add(newId.apply(all.indexOf(name)));
        }
        return ids;
    }

    /** Returns the names of the methods, indexed by id. */
    public List<String> methodNames() {
        return methods.stream().map(Method::name).toList();
    }
}
