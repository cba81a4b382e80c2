package rosespread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntFunction;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.PolicySettings;
import rosespread.api.ZoneId;

/** The names that one conductor's settings give, and the settings themselves; names end here. */
public final class NameRegistry {
    /** Stands for a level without bound, far above what a proxy can meet. */
    public static final double UNBOUNDED_ADMISSION_LIMIT = 1e6;

    /** How a further try is told that comes only after proof that the first never ran. */
    public static final int RETRY_ONLY_IF_NOT_EXECUTED = 1;

    private final Map<String, Integer> zones = new TreeMap<>();
    private final Map<String, Integer> machineTypes = new TreeMap<>();
    private final Map<String, Integer> methods = new TreeMap<>();
    private final List<String> methodNames = new ArrayList<>();
    private final int configuredZones;
    private final int utilization;

    public NameRegistry(ConfigObject info) throws ConfigException {
        for (Object zone : info.array("azs")) {
            zones.putIfAbsent(String.valueOf(zone), zones.size());
        }
        for (Object kind : info.array("kinds")) {
            machineTypes.putIfAbsent(String.valueOf(kind), machineTypes.size());
        }
        for (ConfigObject method : info.requiredObjects("profiles")) {
            methods.put(method.text("name"), methods.size());
            methodNames.add(method.text("name"));
        }
        configuredZones = zones.size();
        utilization =
                info.has("report")
                        ? info.object("report").array("columns").indexOf("utilization")
                        : -1;
    }

    /** A name that the settings lack gets the next number; asked by several threads. */
    public synchronized ZoneId zone(String name) {
        zones.putIfAbsent(name, zones.size());
        return new ZoneId(zones.get(name));
    }

    public synchronized MachineTypeId machineType(String name) {
        machineTypes.putIfAbsent(name, machineTypes.size());
        return new MachineTypeId(machineTypes.get(name));
    }

    public MethodId method(String name) throws ConfigException {
        Integer place = methods.get(name);
        if (place == null) {
            throw new ConfigException("no method \"" + name + "\" among the settings");
        }
        return new MethodId(place);
    }

    /** Whether the settings name this zone, unlike one that only a list brought. */
    public synchronized boolean isConfiguredZone(String name) {
        return zones.containsKey(name) && zones.get(name) < configuredZones;
    }

    public Optional<MethodId> findMethod(String name) {
        return Optional.ofNullable(methods.get(name)).map(MethodId::new);
    }

    /** NameRegistry of the methods, in the order of their places. */
    public List<String> methodNames() {
        return List.copyOf(methodNames);
    }

    public double utilization(ConfigObject event) throws ConfigException {
        List<?> report = event.array("report");
        boolean told = utilization >= 0 && utilization < report.size();
        return told && report.get(utilization) instanceof Number value
                ? value.doubleValue()
                : Double.NaN;
    }

    public PolicySettings settings(ConfigObject info) throws ConfigException {
        ConfigObject domain = info.object("domain");
        ConfigObject rules = info.object("contract");
        ConfigObject limits = info.object("policyLimits");
        List<PolicySettings.Method> decoded = new ArrayList<>();
        for (ConfigObject method : info.requiredObjects("profiles")) {
            decoded.add(method(method, domain.booleanAt("zoneBound", decoded.size())));
        }
        return new PolicySettings(
                List.copyOf(decoded),
                zones.size(),
                domain.integer("shards", 0) > 0,
                info.text("membershipMode", "automatic").equals("subscribe"),
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
                rules.secondsAsNanos("stopSendingWithin"),
                rules.secondsAsNanos("cold"),
                rules.number("coldShare"),
                rules.secondsAsNanos("overloadFor"));
    }

    private PolicySettings.Method method(ConfigObject method, boolean ownZone)
            throws ConfigException {
        return new PolicySettings.Method(
                method.number("importance"),
                places(method, "onlyKinds", name -> machineType(name).value(), MachineTypeId::new),
                places(method, "onlyZones", name -> zone(name).value(), ZoneId::new),
                ownZone);
    }

    private interface Place {
        int of(String name);
    }

    private static <T> Set<T> places(
            ConfigObject method, String key, Place place, IntFunction<T> id)
            throws ConfigException {
        Set<T> all = new TreeSet<>();
        for (Object name : method.array(key)) {
            all.add(id.apply(place.of(String.valueOf(name))));
        }
        return all;
    }

    private static PolicySettings.Throttle throttle(String name) {
        return switch (name) {
            case "ratio" -> PolicySettings.Throttle.SHARE;
            case "rps" -> PolicySettings.Throttle.RATE;
            default -> PolicySettings.Throttle.NONE;
        };
    }
}
