package rosespread.policy;

import java.util.List;
import rosespread.api.PolicySettings;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardTable;

/** The least time between two deliveries of a shard. */
final class DeliveryInterval {
    /** The pace of ordinary deliveries. */
    private static final long ORDINARY_NANOS = TimeUnits.SECOND / 2;

    /** Part of the channel for message overheads if little has changed. */
    private static final double USUAL_OVERHEAD_SHARE = 0.12;

    /** Part of the channel for message overheads if much has changed or can't wait. */
    private static final double MAX_OVERHEAD_SHARE = 0.4;

    /** Part of the channel for message overheads if a removal would be late otherwise. */
    private static final double REMOVAL_OVERHEAD_SHARE = 0.8;

    /** Much has changed if entries come to this multiple of a message's overhead. */
    private static final double MANY_ENTRIES = 1.5;

    /** Messages are spaced once a proxy was written one in so many of its limit. */
    private static final int SPACED_FROM = 4;

    private final PolicySettings settings;
    private final ProxyRegistry proxies;
    private final ChannelBudget budget;

    DeliveryInterval(PolicySettings settings, ProxyRegistry proxies, ChannelBudget budget) {
        this.settings = settings;
        this.proxies = proxies;
        this.budget = budget;
    }

    /**
     * The interval in nanoseconds, such that message overheads take a bounded part of the channel
     * and messages are spread over the window of their limit. A removal waits a third of its drain
     * timeout at most.
     *
     * @param share the part of the limits that the delivery may use, which tells its urgency
     */
    long nanos(double share, List<ShardTable> due, List<Proxy> subscribed, long now) {
        boolean urgent = share > ChannelBudget.ORDINARY_SHARE;
        long ordinary = urgent ? 0 : ORDINARY_NANOS;
        return Math.max(
                Math.max(ordinary, overheadNanos(share, due)),
                messageLimitNanos(share, subscribed, now));
    }

    private long overheadNanos(double share, List<ShardTable> due) {
        boolean much =
                share > ChannelBudget.ORDINARY_SHARE
                        || due.stream().mapToInt(table -> table.pending().size()).sum()
                                > MANY_ENTRIES * budget.messageOverhead();
        double overheads =
                budget.messageOverhead()
                        * proxies.size()
                        / settings.entriesPerSecond()
                        * TimeUnits.SECOND;
        long nanos = (long) (overheads / (much ? MAX_OVERHEAD_SHARE : USUAL_OVERHEAD_SHARE));
        return share == ChannelBudget.REMOVAL_SHARE
                ? Math.max(
                        (long) (overheads / REMOVAL_OVERHEAD_SHARE),
                        Math.min(nanos, budget.maxRemovalWaitNanos()))
                : nanos;
    }

    private long messageLimitNanos(double share, List<Proxy> subscribed, long now) {
        int most = subscribed.stream().mapToInt(p -> budget.messages(p, now)).max().orElse(0);
        return SPACED_FROM * most > settings.messageLimit() && settings.messageLimit() > 0
                ? (long) (settings.messageWindowNanos() / (share * settings.messageLimit()))
                : 0;
    }
}
