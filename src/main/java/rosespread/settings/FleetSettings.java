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
        List<String> kinds,
        List<Method> methods,
        Catalogue list,
        HealthChecks probes,
        PolicySettings.Throttle levels,
        Channel channel,
        long reportPeriod,
        long drainGrace,
        double drainLeastShare,
        List<InetSocketAddress> peers,
        WarmUp cold) {

    public record Method(
            String name,
            double criticality,
            List<String> onlyKinds,
            List<String> onlyZones,
            boolean ownZone) {}

    /**
     * Where the list is; {@code block} is how long one query may block, {@code silentAfter} how
     * much longer an answer may take before the list counts as unavailable, {@code backwardsAfter}
     * how long answers must stay older than what is known until they are taken as a list that has
     * begun anew.
     */
    public record Catalogue(
            String host,
            int port,
            String service,
            boolean onDemand,
            long block,
            long silentAfter,
            long backwardsAfter) {}

    public record HealthChecks(boolean allowed, String path, long timeout) {}

    /** The pace and limits of the channel; a message limit of 0 is none. */
    public record Channel(
            double linesPerSecond,
            double linesPerMessage,
            double queueLimit,
            double orderPrice,
            int messageLimit,
            long messageSpan,
            long longestWay,
            long keepAlive) {}

    /**
     * How nodes warm up: how long at most, from what share of their size, and over what window they
     * fall.
     */
    public record WarmUp(long time, double share, long window) {}

    /** What the decision module is told. */
    public PolicySettings policySettings() {
        return new PolicySettings(
                methods.stream().map(this::method).toList(),
                zones.size(),
                false,
                list.onDemand(),
                probes.allowed(),
                levels,
                channel.linesPerSecond(),
                channel.linesPerMessage(),
                channel.queueLimit(),
                channel.orderPrice(),
                channel.messageLimit(),
                channel.messageSpan(),
                channel.longestWay(),
                reportPeriod,
                drainGrace,
                cold.time(),
                cold.share(),
                cold.window());
    }

    private PolicySettings.Method method(Method method) {
        return new PolicySettings.Method(
                method.criticality(),
                places(method.onlyKinds(), kinds, MachineTypeId::new),
                places(method.onlyZones(), zones, ZoneId::new),
                method.ownZone());
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
