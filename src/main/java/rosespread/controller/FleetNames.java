package rosespread.controller;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.TreeMap;
import rosespread.api.MachineTypeId;
import rosespread.api.ZoneId;
import rosespread.settings.FleetSettings;

/**
 * The numbers of zones and machine types: those of the settings first, in their order, then others
 * as the node list brings them.
 *
 * <p>Owned by the event-loop thread.
 */
final class FleetNames {
    private final TreeMap<String, Integer> zones = new TreeMap<>();
    private final TreeMap<String, Integer> machineTypes = new TreeMap<>();

    /** Numbers the names of the settings; numbers given before no longer hold. */
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
     * Returns a digest of what tables are laid out by: zones, machine types, and where methods may
     * go. It is persisted, so the text that it is made of must not change.
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
