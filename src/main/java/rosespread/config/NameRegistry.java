package rosespread.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.ZoneId;

/**
 * Maps the names of zones, machine types and methods to the ids that the policy uses. An id is the
 * position of the name in its array of the settings. Zones and machine types that only a node list
 * names get the next free ids; the set of methods is fixed.
 *
 * <p>Thread-safe, as I/O threads also look up zones and machine types.
 */
public final class NameRegistry {
    /** The admission limit on the wire that means "no limit"; far above the load of any proxy. */
    public static final double UNBOUNDED_ADMISSION_LIMIT = 1e6;

    /**
     * The retry rule on the wire that allows a retry only if the first attempt provably never ran.
     */
    public static final int RETRY_ONLY_IF_NOT_EXECUTED = 1;

    private final Map<String, Integer> zones = new TreeMap<>();
    private final Map<String, Integer> machineTypes = new TreeMap<>();
    private final Map<String, Integer> methods = new TreeMap<>();
    private final List<String> methodNames;
    private final int configuredZones;
    private final LoadReportColumns reportColumns;

    /**
     * Reads the names from a settings object: zones from {@code azs}, machine types from {@code
     * kinds} and methods from {@code profiles[].name}.
     *
     * @throws ConfigException if a field is missing or has a wrong type
     */
    public NameRegistry(ConfigObject settings) throws ConfigException {
        for (String zone : settings.names("azs")) {
            zones.putIfAbsent(zone, zones.size());
        }
        for (String machineType : settings.names("kinds")) {
            machineTypes.putIfAbsent(machineType, machineTypes.size());
        }
        List<String> names = new ArrayList<>();
        for (ConfigObject method : settings.requiredObjects("profiles")) {
            methods.put(method.text("name"), methods.size());
            names.add(method.text("name"));
        }
        methodNames = List.copyOf(names);
        configuredZones = zones.size();
        reportColumns = new LoadReportColumns(settings);
    }

    /** The id of a zone; a new name gets the next free id. */
    public synchronized ZoneId zone(String name) {
        zones.putIfAbsent(name, zones.size());
        return new ZoneId(zones.get(name));
    }

    /** The id of a machine type; a new name gets the next free id. */
    public synchronized MachineTypeId machineType(String name) {
        machineTypes.putIfAbsent(name, machineTypes.size());
        return new MachineTypeId(machineTypes.get(name));
    }

    /**
     * The id of a method.
     *
     * @throws ConfigException if the settings do not define the method
     */
    public MethodId method(String name) throws ConfigException {
        Integer index = methods.get(name);
        if (index == null) {
            throw new ConfigException(
                    "unknown method \"" + name + "\": the settings do not define it");
        }
        return new MethodId(index);
    }

    /** The id of a method, or empty if the settings do not define it. */
    public Optional<MethodId> findMethod(String name) {
        return Optional.ofNullable(methods.get(name)).map(MethodId::new);
    }

    /** The names of the methods, indexed by id. */
    public List<String> methodNames() {
        return methodNames;
    }

    /** Whether the zone is named in the settings and not only in a node list. */
    public synchronized boolean isConfiguredZone(String name) {
        return zones.containsKey(name) && zones.get(name) < configuredZones;
    }

    /** The number of zones that have an id so far. */
    synchronized int zoneCount() {
        return zones.size();
    }

    /**
     * The utilization in a load report of the simulator, as a ratio; NaN if it was not reported.
     *
     * @throws ConfigException if the report is not an array
     */
    public double utilization(ConfigObject report) throws ConfigException {
        return reportColumns.utilization(report);
    }
}
