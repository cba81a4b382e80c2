package rosespread.platform;

import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** A message from a proxy or collector, complete and validated. */
sealed interface Message {
    /** Asks for a heartbeat reply. */
    record Heartbeat() implements Message {}

    /** A collector of a zone's reports joins. */
    record CollectorJoin(ZoneId zone) implements Message {}

    /**
     * A proxy joins.
     *
     * @param requestsPerSecond the proxy's usual request rate
     * @param holdsNoTables whether the proxy holds no tables from an earlier stream
     */
    record ProxyJoin(ProxyId proxy, ZoneId zone, double requestsPerSecond, boolean holdsNoTables)
            implements Message {}

    /**
     * A proxy has applied an update.
     *
     * @param token the token of the update
     * @param latencyNanos time from writing the update until it took effect
     */
    record Acknowledgement(ProxyId proxy, int token, long latencyNanos) implements Message {}

    /**
     * Results of the attempts that a zone's proxies made at a node.
     *
     * @param node the node's name on the platform
     * @param latencySeconds mean over attempts that did not fail; NaN if not reported
     * @param periodNanos length of the reported period
     * @param utilization busy fraction of the node's cores; NaN if not reported
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

    /**
     * The number of requests for a method that a proxy received.
     *
     * @param periodNanos length of the reported period
     */
    record DemandReport(ProxyId proxy, MethodId method, int requests, long periodNanos)
            implements Message {}
}
