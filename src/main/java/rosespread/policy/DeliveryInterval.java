package rosespread.policy;

import java.util.List;
import rosespread.api.PolicySettings;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardTable;

/** Computes the least interval between two deliveries of a shard. */
final class DeliveryInterval {
    /** Least interval of ordinary deliveries. */
    private static final long ORDINARY_NANOS = TimeUnits.SECOND / 2;

    /**
     * Maximum fraction of the channel capacity used for message overhead if few entries are
     * pending.
     */
    private static final double USUAL_OVERHEAD_SHARE = 0.12;

    /**
     * Maximum fraction of the channel capacity used for message overhead if many entries are
     * pending or the delivery is urgent.
     */
    private static final double MAX_OVERHEAD_SHARE = 0.4;

    /**
     * Maximum fraction of the channel capacity used for message overhead if a removal would
     * otherwise wait longer than {@link ChannelBudget#maxRemovalWaitNanos}.
     */
    private static final double REMOVAL_OVERHEAD_SHARE = 0.8;

    /**
     * Many entries are pending if their number in all due tables exceeds this multiple of a
     * message's overhead, which is also counted in entries.
     */
    private static final double MANY_ENTRIES_MULTIPLE = 1.5;

    /**
     * Deliveries are spread over the window of the message limit once a proxy was sent more
     * messages within the window than the message limit divided by this number.
     */
    private static final int SPACING_START_DIVISOR = 4;

    private final PolicySettings settings;
    private final ProxyRegistry proxies;
    private final ChannelBudget budget;

    DeliveryInterval(PolicySettings settings, ProxyRegistry proxies, ChannelBudget budget) {
        this.settings = settings;
        this.proxies = proxies;
        this.budget = budget;
    }

    /**
     * The interval in nanoseconds. It bounds the fraction of the channel capacity that is used for
     * message overhead, and spreads messages over the window of the message limit. A removal waits
     * a third of its drain timeout at most.
     *
     * @param share the fraction of the queue limit and of the message limit that the delivery may
     *     use; higher for urgent deliveries, highest for removals
     */
    long nanos(double share, List<ShardTable> due, List<Proxy> subscribed, long now) {
        boolean urgent = share > ChannelBudget.ORDINARY_SHARE;
        long ordinary = urgent ? 0 : ORDINARY_NANOS;
        return Math.max(
                Math.max(ordinary, overheadNanos(share, due)),
                messageLimitNanos(share, subscribed, now));
    }

    private long overheadNanos(double share, List<ShardTable> due) {
        boolean manyOrUrgent =
                share > ChannelBudget.ORDINARY_SHARE
                        || due.stream().mapToInt(table -> table.pending().size()).sum()
                                > MANY_ENTRIES_MULTIPLE * budget.messageOverhead();
        double overheads =
                budget.messageOverhead()
                        * proxies.size()
                        / settings.entriesPerSecond()
                        * TimeUnits.SECOND;
        long nanos =
                (long) (overheads / (manyOrUrgent ? MAX_OVERHEAD_SHARE : USUAL_OVERHEAD_SHARE));
        return share == ChannelBudget.REMOVAL_SHARE
                ? Math.max(
                        (long) (overheads / REMOVAL_OVERHEAD_SHARE),
                        Math.min(nanos, budget.maxRemovalWaitNanos()))
                : nanos;
    }

    private long messageLimitNanos(double share, List<Proxy> subscribed, long now) {
        int maxMessages =
                subscribed.stream().mapToInt(p -> budget.messages(p, now)).max().orElse(0);
        return SPACING_START_DIVISOR * maxMessages > settings.messageLimit()
                        && settings.messageLimit() > 0
                ? (long) (settings.messageWindowNanos() / (share * settings.messageLimit()))
                : 0;
    }
}
