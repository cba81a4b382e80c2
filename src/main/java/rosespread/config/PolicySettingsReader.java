package rosespread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import rosespread.api.MachineTypeId;
import rosespread.api.PolicySettings;
import rosespread.api.ZoneId;

/** Converts a settings object of the platform or the simulator to the policy's settings. */
public final class PolicySettingsReader {
    private final NameRegistry names;

    /** Creates a reader that looks up names in a registry, and adds new names to it. */
    public PolicySettingsReader(NameRegistry names) {
        this.names = names;
    }

    /**
     * Reads the settings and converts their times from seconds to nanoseconds.
     *
     * @throws ConfigException if a field is missing or has a wrong type
     */
    public PolicySettings read(ConfigObject settings) throws ConfigException {
        ConfigObject domain = settings.object("domain");
        ConfigObject contract = settings.object("contract");
        ConfigObject limits = settings.object("policyLimits");
        List<PolicySettings.Method> methods = methods(settings, domain);
        return new PolicySettings(
                methods,
                names.zoneCount(),
                domain.integer("shards", 0) > 0,
                settings.text("membershipMode", "automatic").equals("subscribe"),
                limits.booleanValue("probes"),
                throttle(domain.text("throttleBy", "off")),
                domain.number("channelRate"),
                domain.number("overhead"),
                domain.number("queueCap"),
                domain.number("costPerLine", 0),
                domain.integer("pushesAllowed", 0),
                domain.secondsAsNanos("countedOver", 0),
                domain.secondsAsNanos("pushDelayMax", 0),
                domain.secondsAsNanos("reportEvery"),
                contract.secondsAsNanos("stopSendingWithin"),
                contract.secondsAsNanos("cold"),
                contract.number("coldShare"),
                contract.secondsAsNanos("overloadFor"));
    }

    private List<PolicySettings.Method> methods(ConfigObject settings, ConfigObject domain)
            throws ConfigException {
        List<PolicySettings.Method> methods = new ArrayList<>();
        for (ConfigObject method : settings.requiredObjects("profiles")) {
            boolean localZoneOnly = domain.booleanAt("zoneBound", methods.size());
            methods.add(method(method, localZoneOnly));
        }
        return List.copyOf(methods);
    }

    private PolicySettings.Method method(ConfigObject method, boolean localZoneOnly)
            throws ConfigException {
        double priorityWeight = method.number("importance");
        Set<MachineTypeId> machineTypes = ids(method.names("onlyKinds"), names::machineType);
        Set<ZoneId> zones = ids(method.names("onlyZones"), names::zone);
        return new PolicySettings.Method(priorityWeight, machineTypes, zones, localZoneOnly);
    }

    private static <T> Set<T> ids(List<String> names, Function<String, T> idOf) {
        Set<T> ids = new TreeSet<>();
        for (String name : names) {
            ids.add(idOf.apply(name));
        }
        return ids;
    }

    private static PolicySettings.Throttle throttle(String name) {
        return switch (name) {
            case "ratio" -> PolicySettings.Throttle.SHARE;
            case "rps" -> PolicySettings.Throttle.RATE;
            default -> PolicySettings.Throttle.NONE;
        };
    }
}
