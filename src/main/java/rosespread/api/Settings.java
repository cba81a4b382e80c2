package rosespread.api;

import java.util.List;
import java.util.Set;

/**
 * What a conductor is told at its start; times in nanoseconds. Decoded once, never copied. The
 * order price is what the channel's usual pace costs, as a part of all service.
 */
public record Settings(
        List<Method> methods,
        int zones,
        boolean sliced,
        boolean listOnDemand,
        boolean probesAllowed,
        Throttle throttle,
        double linesPerSecond,
        double linesPerMessage,
        double queueLimit,
        double orderPrice,
        int messageLimit,
        long messageSpan,
        long longestWay,
        long reportPeriod,
        long drainGrace,
        long coldTime,
        double coldShare,
        long coldWindow) {

    /** A method; the sets name the only kinds and zones open to it, and are empty where all are. */
    public record Method(
            double criticality, Set<KindId> onlyKinds, Set<ZoneId> onlyZones, boolean ownZone) {}

    /** What a level is counted in, if proxies heed levels at all. */
    public enum Throttle {
        SHARE,
        RATE,
        NONE
    }
}
