package rosespread.platform;

import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;

/** A message of the platform, whole and within its bounds; times in nanoseconds. */
sealed interface Message {
    /** A sign of life is asked for. */
    record Heartbeat() implements Message {}

    /** A collector of a zone's reports says who it is. */
    record Collector(ZoneId zone) implements Message {}

    /**
     * A proxy joins; {@code rate} is its usual RPCs a second, {@code fresh} that it holds no order.
     */
    record Join(ProxyId proxy, ZoneId zone, double rate, boolean fresh) implements Message {}

    record Done(ProxyId proxy, int ticket, long took) implements Message {}

    /**
     * What a zone's proxies met at a node; latency in seconds, NaN if none, as with utilization.
     */
    record Sums(
            String node,
            ZoneId zone,
            int tries,
            int unanswered,
            double latency,
            long covers,
            double utilization)
            implements Message {}

    record Offered(ProxyId proxy, MethodId method, int count, long covers) implements Message {}
}
