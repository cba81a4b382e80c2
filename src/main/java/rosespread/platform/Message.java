package rosespread.platform;

import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** A message of a proxy or collector, complete and within its bounds. */
sealed interface Message {
    /** Asks for a sign of life. */
    record Heartbeat() implements Message {}

    /** A collector of a zone's reports joins. */
    record CollectorJoin(ZoneId zone) implements Message {}

    /**
     * A proxy joins.
     *
     * @param requestsPerSecond its usual rate
     * @param holdsNoTables whether it has none from an earlier stream
     */
    record ProxyJoin(ProxyId proxy, ZoneId zone, double requestsPerSecond, boolean holdsNoTables)
            implements Message {}

    /**
     * A proxy has applied an update.
     *
     * @param token what the update carried
     * @param latencyNanos from the update's writing to its effect
     */
    record Acknowledgement(ProxyId proxy, int token, long latencyNanos) implements Message {}

    /**
     * What the proxies of a zone saw of a node.
     *
     * @param node its name on the platform
     * @param latencySeconds mean of the attempts that did not fail; NaN if not reported
     * @param periodNanos what the report covers
     * @param utilization busy share of the node's cores; NaN if not reported
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
     * How many requests of a method came to a proxy.
     *
     * @param periodNanos what the report covers
     */
    record DemandReport(ProxyId proxy, MethodId method, int requests, long periodNanos)
            implements Message {}
}
