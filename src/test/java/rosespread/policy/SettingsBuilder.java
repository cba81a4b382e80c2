package rosespread.policy;

import java.util.List;
import java.util.Set;
import rosespread.api.MachineTypeId;
import rosespread.api.PolicySettings;
import rosespread.api.PolicySettings.Method;
import rosespread.api.PolicySettings.Throttle;
import rosespread.api.ZoneId;

/**
 * Builds policy settings. The defaults are those of a deployment of one zone and one method, with a
 * channel that carries 1000 entries per second. Durations are in seconds.
 */
final class SettingsBuilder {
    private List<Method> methods = List.of(method(1));
    private int zones = 1;
    private boolean listOnDemand;
    private boolean healthChecks;
    private Throttle throttle = Throttle.RATE;
    private double entriesPerSecond = 1000;
    private double messageOverhead = 10;
    private double queueLimit = 2000;
    private double channelCost = 0.04;
    private int messageLimit = 30;
    private double propagationDelay = 0.5;
    private double reportPeriod = 1;
    private double drainTimeout = 2;
    private double warmUp = 16;
    private double coldCapacityRatio = 0.16;
    private double coldOverload = 1.5;

    /** A method that only these machine types may serve, or all machine types if none is given. */
    static Method method(double priorityWeight, int... machineTypes) {
        Set<MachineTypeId> allowed = new java.util.TreeSet<>();
        for (int type : machineTypes) {
            allowed.add(new MachineTypeId(type));
        }
        return new Method(priorityWeight, allowed, Set.of(), false);
    }

    static Method localMethod(double priorityWeight) {
        return new Method(priorityWeight, Set.of(), Set.of(), true);
    }

    static Method methodOfZones(double priorityWeight, int... zones) {
        Set<ZoneId> allowed = new java.util.TreeSet<>();
        for (int zone : zones) {
            allowed.add(new ZoneId(zone));
        }
        return new Method(priorityWeight, Set.of(), allowed, false);
    }

    SettingsBuilder methods(int zoneCount, Method... all) {
        zones = zoneCount;
        methods = List.of(all);
        return this;
    }

    SettingsBuilder throttle(Throttle unit) {
        throttle = unit;
        return this;
    }

    SettingsBuilder listOnDemand() {
        listOnDemand = true;
        return this;
    }

    SettingsBuilder healthChecks() {
        healthChecks = true;
        return this;
    }

    SettingsBuilder channel(double entries, double overhead, double queue, double cost) {
        entriesPerSecond = entries;
        messageOverhead = overhead;
        queueLimit = queue;
        channelCost = cost;
        return this;
    }

    SettingsBuilder queueLimit(double entries) {
        queueLimit = entries;
        return this;
    }

    SettingsBuilder messageLimit(int messages) {
        messageLimit = messages;
        return this;
    }

    SettingsBuilder propagationDelay(double seconds) {
        propagationDelay = seconds;
        return this;
    }

    SettingsBuilder reportPeriod(double seconds) {
        reportPeriod = seconds;
        return this;
    }

    SettingsBuilder drainTimeout(double seconds) {
        drainTimeout = seconds;
        return this;
    }

    SettingsBuilder warmUp(double seconds, double coldRatio, double overload) {
        warmUp = seconds;
        coldCapacityRatio = coldRatio;
        coldOverload = overload;
        return this;
    }

    PolicySettings build() {
        return new PolicySettings(
                methods,
                zones,
                false,
                listOnDemand,
                healthChecks,
                throttle,
                entriesPerSecond,
                messageOverhead,
                queueLimit,
                channelCost,
                messageLimit,
                nanos(10),
                nanos(propagationDelay),
                nanos(reportPeriod),
                nanos(drainTimeout),
                nanos(warmUp),
                coldCapacityRatio,
                nanos(coldOverload));
    }

    private static long nanos(double seconds) {
        return Math.round(seconds * TimeUnits.SECOND);
    }
}
