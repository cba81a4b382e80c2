package rosespread.platform;

import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** A message of the platform, whole and within its bounds; times in nanoseconds. */
sealed interface Message {
    /** A sign of life is asked for. */
    record Heartbeat() implements Message {}

    /** A collector of a zone's reports says who it is. */
    record CollectorJoin(ZoneId zone) implements Message {}

    /**
     * A proxy joins; {@code rate} is its usual RPCs a second, {@code fresh} that it holds no order.
     */
    record ProxyJoin(ProxyId proxy, ZoneId zone, double requestsPerSecond, boolean holdsNoTables)
            implements Message {}

    record Acknowledgement(ProxyId proxy, int token, long latencyNanos) implements Message {}

    /**
     * What a zone's proxies met at a node; latency in seconds, NaN if none, as with utilization.
     */
    record LoadReport(
            String node,
            ZoneId zone,
            int attempts,
            int failures,
            double latencySeconds,
            long periodNanos,
            double utilization)
            implements Message {}

    record DemandReport(ProxyId proxy, MethodId method, int requests, long periodNanos)
            implements Message {}
}
