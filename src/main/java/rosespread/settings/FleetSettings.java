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
 * The settings that an operator applies, by names; durations are in nanoseconds. A part of them
 * becomes the policy's {@link PolicySettings}; the rest configures discovery, health checks, the
 * channel to the proxies, and drains.
 *
 * @param seed the seed of the policy's random numbers
 * @param zones the names of the zones
 * @param machineTypes the names of the machine types
 * @param methods the methods that the fleet serves
 * @param discovery where the node list comes from
 * @param healthChecks how health checks are made
 * @param throttle what admission limits are counted in, if proxies enforce them
 * @param channel rates and limits of the channel to the proxies
 * @param reportPeriodNanos how often proxies and nodes report, in nanoseconds
 * @param drainTimeoutNanos within what time traffic must have left a draining node, in nanoseconds
 * @param minCapacityRatioWhileDraining the ratio of its listed capacity that a method must keep
 *     while operators drain nodes
 * @param peers the control API's addresses of all controllers of the fleet, to learn drains from
 * @param warmUp how nodes warm up
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
     * @param priorityWeight what one of its RPCs is worth when load must be shed
     * @param allowedMachineTypes the machine types that may serve it; empty if all may
     * @param allowedZones the zones that may serve it; empty if all may
     * @param localZoneOnly whether RPCs must stay in the zone of their proxy
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
     * @param onDemand whether a failed query is repeated only when the policy asks for it
     * @param blockingWaitNanos how long one query may block for a change, in nanoseconds
     * @param responseTimeoutNanos how long a response may take beyond that until the list counts as
     *     unavailable, in nanoseconds
     * @param indexRollbackGraceNanos how long responses must be older than the known list until
     *     they are taken as a catalogue that was set up again, in nanoseconds
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
     * @param allowed whether the policy may make any
     * @param path the path that nodes answer them at
     * @param timeoutNanos how long a response may take, in nanoseconds
     */
    public record HealthChecks(boolean allowed, String path, long timeoutNanos) {}

    /**
     * Rates and limits of the channel to the proxies.
     *
     * @param entriesPerSecond how many weight entries a second the channel carries
     * @param messageOverheadEntries what a message costs beside its entries, in entries
     * @param queueLimitEntries how many entries may be queued in it
     * @param channelCost what the channel's usual rate costs, as a ratio of all service
     * @param messageLimit how many messages a proxy may be sent within {@code messageWindowNanos};
     *     0 for no limit
     * @param messageWindowNanos the window of the message limit, in nanoseconds
     * @param maxPropagationDelayNanos the longest way of a message to its proxy, in nanoseconds
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
     * How nodes warm up after their start.
     *
     * @param durationNanos how long it takes at most, in nanoseconds
     * @param coldCapacityRatio the ratio of its capacity that a node starts with
     * @param windowNanos how long a node that is sent too much holds out until it falls over
     */
    public record WarmUp(long durationNanos, double coldCapacityRatio, long windowNanos) {}

    /** The part that the policy is given, with names as ids: their positions in these lists. */
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
                warmUp.windowNanos());
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

    /** The names of the methods, by id. */
    public List<String> methodNames() {
        return methods.stream().map(Method::name).toList();
    }
}
