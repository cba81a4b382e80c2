package rosespread.controller;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeMap;
import rosespread.api.MachineTypeId;
import rosespread.api.ZoneId;
import rosespread.settings.FleetSettings;

/**
 * Assigns numbers to zones and machine types: first to those of the settings, in their order, then
 * to others when they first occur in a node list.
 *
 * <p>Owned by the event-loop thread.
 */
final class FleetNames {
    private final TreeMap<String, Integer> zones = new TreeMap<>();
    private final TreeMap<String, Integer> machineTypes = new TreeMap<>();

    /** Numbers the names of the settings; numbers assigned before become invalid. */
    void applySettings(FleetSettings settings) {
        renumber(zones, settings.zones());
        renumber(machineTypes, settings.machineTypes());
    }

    private static void renumber(TreeMap<String, Integer> numbers, List<String> names) {
        numbers.clear();
        names.forEach(name -> numbers.put(name, numbers.size()));
    }

    ZoneId zone(String name) {
        return new ZoneId(number(zones, name));
    }

    MachineTypeId machineType(String name) {
        return new MachineTypeId(number(machineTypes, name));
    }

    private static int number(TreeMap<String, Integer> numbers, String name) {
        numbers.putIfAbsent(name, numbers.size());
        return numbers.get(name);
    }

    /**
     * Returns a digest of the settings that the layout of tables depends on: zones, machine types,
     * and the nodes that each method may use. The digest is persisted, so the text that it is
     * computed from must not change.
     */
    static long layoutDigest(FleetSettings settings) {
        StringBuilder text =
                new StringBuilder().append(settings.zones()).append(settings.machineTypes());
        for (FleetSettings.Method method : settings.methods()) {
            text.append('|')
                    .append(method.name())
                    .append(method.allowedMachineTypes())
                    .append(method.allowedZones())
                    .append(method.localZoneOnly());
        }
        return Hashing.xxh3_64().hashBytesToLong(text.toString().getBytes(StandardCharsets.UTF_8));
    }
}
