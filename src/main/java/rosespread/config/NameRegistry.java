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
 * Maps the names of zones, machine types and methods to the ids that the policy works with. Ids are
 * the positions in the settings' arrays. Zones and machine types that only a node list names get
 * the next free ids; the methods are fixed.
 *
 * <p>Thread-safe: names of zones and machine types are looked up by I/O threads as well.
 */
public final class NameRegistry {
    /** An admission limit that stands for none, far above the load of any proxy. */
    public static final double UNBOUNDED_ADMISSION_LIMIT = 1e6;

    /** The retry rule on the wire: a retry only after proof that the first attempt never ran. */
    public static final int RETRY_ONLY_IF_NOT_EXECUTED = 1;

    private final Map<String, Integer> zones = new TreeMap<>();
    private final Map<String, Integer> machineTypes = new TreeMap<>();
    private final Map<String, Integer> methods = new TreeMap<>();
    private final List<String> methodNames;
    private final int configuredZones;
    private final LoadReportColumns reportColumns;

    /**
     * The names in a settings object: {@code azs}, {@code kinds} and {@code profiles[].name}.
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

    /** The id of a zone; a name not seen before gets the next free id. */
    public synchronized ZoneId zone(String name) {
        zones.putIfAbsent(name, zones.size());
        return new ZoneId(zones.get(name));
    }

    /** The id of a machine type; a name not seen before gets the next free id. */
    public synchronized MachineTypeId machineType(String name) {
        machineTypes.putIfAbsent(name, machineTypes.size());
        return new MachineTypeId(machineTypes.get(name));
    }

    /**
     * The id of a method.
     *
     * @throws ConfigException if the settings have no such method
     */
    public MethodId method(String name) throws ConfigException {
        Integer index = methods.get(name);
        if (index == null) {
            throw new ConfigException("no method \"" + name + "\" among the settings");
        }
        return new MethodId(index);
    }

    /** The id of a method, or empty if the settings have no such method. */
    public Optional<MethodId> findMethod(String name) {
        return Optional.ofNullable(methods.get(name)).map(MethodId::new);
    }

    /** The names of the methods, by id. */
    public List<String> methodNames() {
        return methodNames;
    }

    /** Whether the settings name this zone, in contrast to one that only a node list names. */
    public synchronized boolean isConfiguredZone(String name) {
        return zones.containsKey(name) && zones.get(name) < configuredZones;
    }

    /** The number of zones named so far. */
    synchronized int zoneCount() {
        return zones.size();
    }

    /**
     * The utilization that a load report of the simulator holds, as a ratio; NaN if it was not
     * reported.
     *
     * @throws ConfigException if the report is not an array
     */
    public double utilization(ConfigObject report) throws ConfigException {
        return reportColumns.utilization(report);
    }
}
