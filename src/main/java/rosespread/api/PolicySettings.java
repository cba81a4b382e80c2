package rosespread.api;

import java.util.List;
import java.util.Set;

/**
 * What a conductor is told at its start; times in nanoseconds. Decoded once, never copied. The
 * order price is what the channel's usual pace costs, as a part of all service.
 */
public record PolicySettings(
        List<Method> methods,
        int zones,
        boolean keyRangeTables,
        boolean listOnDemand,
        boolean healthChecksAllowed,
        Throttle throttle,
        double entriesPerSecond,
        double messageOverheadEntries,
        double queueLimitEntries,
        double channelCost,
        int messageLimit,
        long messageWindowNanos,
        long maxPropagationDelayNanos,
        long reportPeriodNanos,
        long drainTimeoutNanos,
        long warmUpNanos,
        double coldCapacityRatio,
        long coldWindowNanos) {

    /** A method; the sets name the only kinds and zones open to it, and are empty where all are. */
    public record Method(
            double priorityWeight,
            Set<MachineTypeId> allowedMachineTypes,
            Set<ZoneId> allowedZones,
            boolean localZoneOnly) {}

    /** What a level is counted in, if proxies heed levels at all. */
    public enum Throttle {
        SHARE,
        RATE,
        NONE
    }
}
