package rosespread.api;

import java.util.List;
import java.util.Set;

/**
 * Settings that the policy is given when the controller starts. Decoded once, never copied.
 * Durations are in nanoseconds; the load on the channel to the proxies is counted in entries.
 *
 * @param methods all methods; {@link MethodId} is the index in this list
 * @param zones the number of zones
 * @param keyRangeTables whether tables are split by key ranges; the policy does not decide on them
 * @param listOnDemand whether the node list is sent only on request
 * @param healthChecksAllowed whether nodes may be health-checked
 * @param throttle unit of admission limits
 * @param entriesPerSecond channel capacity in entries per second, for all proxies together
 * @param messageOverheadEntries cost of a message header, in entries
 * @param queueLimitEntries maximum number of entries queued in the channel
 * @param channelCost cost of the channel at its usual rate, as a fraction of the whole service
 * @param messageLimit maximum number of messages to a proxy within the window; 0 for no limit
 * @param messageWindowNanos window of the message limit
 * @param maxPropagationDelayNanos maximum time from when an entry leaves the channel until the
 *     entry takes effect
 * @param reportPeriodNanos interval between a node's load reports
 * @param drainTimeoutNanos time after a node leaves; once it has passed, no table may name the node
 * @param warmUpNanos time from a node's start until it has its full capacity
 * @param coldCapacityRatio fraction of its full capacity that a node has at its start
 * @param coldOverloadNanos time for which a node that warms up can be overloaded before it fails
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
        long coldOverloadNanos) {

    /**
     * A method and the nodes that may serve it.
     *
     * @param priorityWeight value of an answer; methods of the lowest value are shed first
     * @param allowedMachineTypes machine types that may serve the method; empty for all
     * @param allowedZones zones that may serve the method; empty for all
     * @param localZoneOnly whether only nodes in the proxy's own zone may serve the method
     */
    public record Method(
            double priorityWeight,
            Set<MachineTypeId> allowedMachineTypes,
            Set<ZoneId> allowedZones,
            boolean localZoneOnly) {}

    /** Unit of admission limits, or {@link #NONE} if proxies apply no limits. */
    public enum Throttle {
        /** Fraction of requests to admit. */
        SHARE,
        /** Requests per second to admit at each proxy. */
        RATE,
        /** Proxies apply no limits. */
        NONE
    }
}
