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
 * What an operator sets, by name; times in nanoseconds. A part of it is the module's {@link
 * PolicySettings}, the rest says where the server list is and how probes and the channel go.
 *
 * @param peers control addresses of all conductors of the fleet, to learn of drains from
 * @param drainLeastShare the part of its listed size that a method must keep when operators drain
 *     nodes
 */
public record FleetSettings(
        long seed,
        List<String> zones,
        List<String> machineTypes,
        List<Method> methods,
        Discovery discovery,
        HealthChecks healthChecks,
        PolicySettings.Throttle levels,
        Channel channel,
        long reportPeriodNanos,
        long drainTimeoutNanos,
        double minCapacityRatioWhileDraining,
        List<InetSocketAddress> peers,
        WarmUp warmUp) {

    public record Method(
            String name,
            double criticality,
            List<String> allowedMachineTypes,
            List<String> allowedZones,
            boolean localZoneOnly) {}

    /**
     * Where the list is; {@code block} is how long one query may block, {@code silentAfter} how
     * much longer an answer may take before the list counts as unavailable, {@code backwardsAfter}
     * how long answers must stay older than what is known until they are taken as a list that has
     * begun anew.
     */
    public record Discovery(
            String host,
            int port,
            String service,
            boolean onDemand,
            long blockingWaitNanos,
            long responseTimeoutNanos,
            long indexRollbackGraceNanos) {}

    public record HealthChecks(boolean allowed, String path, long timeoutNanos) {}

    /** The pace and limits of the channel; a message limit of 0 is none. */
    public record Channel(
            double entriesPerSecond,
            double messageOverheadEntries,
            double queueLimitEntries,
            double orderPrice,
            int messageLimit,
            long messageWindowNanos,
            long maxPropagationDelayNanos,
            long keepAliveNanos) {}

    /**
     * How nodes warm up: how long at most, from what share of their size, and over what window they
     * fall.
     */
    public record WarmUp(long durationNanos, double coldCapacityRatio, long window) {}

    /** What the decision module is told. */
    public PolicySettings policySettings() {
        return new PolicySettings(
                methods.stream().map(this::method).toList(),
                zones.size(),
                false,
                discovery.onDemand(),
                healthChecks.allowed(),
                levels,
                channel.entriesPerSecond(),
                channel.messageOverheadEntries(),
                channel.queueLimitEntries(),
                channel.orderPrice(),
                channel.messageLimit(),
                channel.messageWindowNanos(),
                channel.maxPropagationDelayNanos(),
                reportPeriodNanos,
                drainTimeoutNanos,
                warmUp.durationNanos(),
                warmUp.coldCapacityRatio(),
                warmUp.window());
    }

    private PolicySettings.Method method(Method method) {
        return new PolicySettings.Method(
                method.criticality(),
                places(method.allowedMachineTypes(), machineTypes, MachineTypeId::new),
                places(method.allowedZones(), zones, ZoneId::new),
                method.localZoneOnly());
    }

    private static <T> Set<T> places(List<String> names, List<String> among, IntFunction<T> id) {
        Set<T> places = new TreeSet<>();
        names.forEach(name -> places.add(id.apply(among.indexOf(name))));
        return places;
    }

    public List<String> methodNames() {
        return methods.stream().map(Method::name).toList();
    }
}
