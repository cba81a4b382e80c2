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
 * @param kinds the names of the machine types
 * @param methods the methods that the fleet serves
 * @param list where the node list comes from
 * @param probes how health checks are made
 * @param throttle what admission limits are counted in, if proxies enforce them
 * @param channel rates and limits of the channel to the proxies
 * @param reportPeriod how often proxies and nodes report, in nanoseconds
 * @param drainGrace within what time traffic must have left a draining node, in nanoseconds
 * @param drainLeastShare the ratio of its listed capacity that a method must keep while operators
 *     drain nodes
 * @param peers the control API's addresses of all controllers of the fleet, to learn drains from
 * @param cold how nodes warm up
 */
public record FleetSettings(
        long seed,
        List<String> zones,
        List<String> kinds,
        List<Method> methods,
        Catalogue list,
        HealthChecks probes,
        PolicySettings.Throttle throttle,
        Channel channel,
        long reportPeriod,
        long drainGrace,
        double drainLeastShare,
        List<InetSocketAddress> peers,
        WarmUp cold) {

    /**
     * A method.
     *
     * @param priorityWeight what one of its RPCs is worth when load must be shed
     * @param onlyKinds the machine types that may serve it; empty if all may
     * @param onlyZones the zones that may serve it; empty if all may
     * @param ownZone whether RPCs must stay in the zone of their proxy
     */
    public record Method(
            String name,
            double priorityWeight,
            List<String> onlyKinds,
            List<String> onlyZones,
            boolean ownZone) {}

    /**
     * The service in Consul's health catalogue that lists the nodes.
     *
     * @param onDemand whether a failed query is repeated only when the policy asks for it
     * @param block how long one query may block for a change, in nanoseconds
     * @param silentAfter how long a response may take beyond that until the list counts as
     *     unavailable, in nanoseconds
     * @param backwardsAfter how long responses must be older than the known list until they are
     *     taken as a catalogue that was set up anew, in nanoseconds
     */
    public record Catalogue(
            String host,
            int port,
            String service,
            boolean onDemand,
            long block,
            long silentAfter,
            long backwardsAfter) {}

    /**
     * Health checks of nodes.
     *
     * @param allowed whether the policy may make any
     * @param path the path that nodes answer them at
     * @param timeout how long a response may take, in nanoseconds
     */
    public record HealthChecks(boolean allowed, String path, long timeout) {}

    /**
     * Rates and limits of the channel to the proxies.
     *
     * @param linesPerSecond how many weight entries a second the channel carries
     * @param linesPerMessage what a message costs beside its entries, in entries
     * @param queueLimit how many entries may be queued in it
     * @param channelCost what the channel's usual rate costs, as a ratio of all service
     * @param messageLimit how many messages a proxy may be sent within {@code messageSpan}; 0 for
     *     no limit
     * @param messageSpan the window of the message limit, in nanoseconds
     * @param longestWay the longest way of a message to its proxy, in nanoseconds
     * @param keepAlive the interval of keep-alives, in nanoseconds
     */
    public record Channel(
            double linesPerSecond,
            double linesPerMessage,
            double queueLimit,
            double channelCost,
            int messageLimit,
            long messageSpan,
            long longestWay,
            long keepAlive) {}

    /**
     * How nodes warm up after their start.
     *
     * @param time how long it takes at most, in nanoseconds
     * @param share the ratio of its capacity that a node starts with
     * @param windowNanos how long a node that is sent too much holds out until it falls over
     */
    public record WarmUp(long time, double share, long windowNanos) {}

    /** The part that the policy is given, with names as ids: their positions in these lists. */
    public PolicySettings policySettings() {
        return new PolicySettings(
                methods.stream().map(this::policyMethod).toList(),
                zones.size(),
                false,
                list.onDemand(),
                probes.allowed(),
                throttle,
                channel.linesPerSecond(),
                channel.linesPerMessage(),
                channel.queueLimit(),
                channel.channelCost(),
                channel.messageLimit(),
                channel.messageSpan(),
                channel.longestWay(),
                reportPeriod,
                drainGrace,
                cold.time(),
                cold.share(),
                cold.windowNanos());
    }

    private PolicySettings.Method policyMethod(Method method) {
        return new PolicySettings.Method(
                method.priorityWeight(),
                ids(method.onlyKinds(), kinds, MachineTypeId::new),
                ids(method.onlyZones(), zones, ZoneId::new),
                method.ownZone());
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
