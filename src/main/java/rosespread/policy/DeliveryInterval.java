package rosespread.policy;

import java.util.List;
import rosespread.api.PolicySettings;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardTable;

/** Least interval between two deliveries of a shard. */
final class DeliveryInterval {
    /** Least interval of ordinary deliveries. */
    private static final long ORDINARY_NANOS = TimeUnits.SECOND / 2;

    /** Fraction of the channel for message overhead if few entries are pending. */
    private static final double USUAL_OVERHEAD_SHARE = 0.12;

    /** Fraction of the channel for message overhead if many entries are pending or are urgent. */
    private static final double MAX_OVERHEAD_SHARE = 0.4;

    /** Fraction of the channel for message overhead if a removal would be late otherwise. */
    private static final double REMOVAL_OVERHEAD_SHARE = 0.8;

    /** Many entries are pending if they exceed this multiple of a message's overhead. */
    private static final double MANY_ENTRIES_MULTIPLE = 1.5;

    /** Messages are spaced once a proxy has received more than its limit divided by this. */
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
     * The interval in nanoseconds. It bounds the fraction of the channel that message overhead
     * takes, and spreads messages over the window of the message limit. A removal waits a third of
     * its drain timeout at most.
     *
     * @param share the fraction of the limits that the delivery may use; it reflects the urgency
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
