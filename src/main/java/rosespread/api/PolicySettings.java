package rosespread.api;

import java.util.List;
import java.util.Set;

/**
 * What a controller gets at its start. Decoded once, never copied. Spans are in nanoseconds;
 * entries are the unit in which the channel to the proxies is counted.
 *
 * @param methods all methods; {@link MethodId} is the place among them
 * @param zones how many zones there are
 * @param keyRangeTables whether tables are split by key ranges, which are not decided here
 * @param listOnDemand whether the node list comes only if it is asked for
 * @param healthChecksAllowed whether nodes may be health-checked
 * @param throttle what an admission limit is counted in
 * @param entriesPerSecond what the channel to all proxies together carries
 * @param messageOverheadEntries what the head of a message costs
 * @param queueLimitEntries what may wait in the channel
 * @param channelCost what the channel's usual pace costs, as a part of all service
 * @param messageLimit messages to a proxy within the window; 0 for any number
 * @param messageWindowNanos window of the message limit
 * @param maxPropagationDelayNanos from leaving the channel to the effect, at the most
 * @param reportPeriodNanos between a node's load reports
 * @param drainTimeoutNanos from a node's leaving until no table may name it
 * @param warmUpNanos from a node's start until it has its full capacity
 * @param coldCapacityRatio the part of its capacity that a node has at its start
 * @param coldWindowNanos how long a node that warms up may be overloaded before it falls over
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

    /**
     * A method.
     *
     * @param priorityWeight what an answer is worth; the lowest is shed first
     * @param allowedMachineTypes the only machine types open to it, empty if all are
     * @param allowedZones the only zones open to it, empty if all are
     * @param localZoneOnly whether only nodes in the proxy's own zone are open to it
     */
    public record Method(
            double priorityWeight,
            Set<MachineTypeId> allowedMachineTypes,
            Set<ZoneId> allowedZones,
            boolean localZoneOnly) {}

    /** What an admission limit is counted in, if proxies heed limits at all. */
    public enum Throttle {
        /** The share of requests to admit. */
        SHARE,
        /** Requests a second to admit at each proxy. */
        RATE,
        /** Proxies heed no limits. */
        NONE
    }
}
