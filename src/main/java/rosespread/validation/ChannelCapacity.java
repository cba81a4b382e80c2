package rosespread.validation;

/**
 * Decides how much may be sent that the routing policy did not order: rollbacks, what the validator
 * puts in place of a refused change, and full tables for proxies that could not follow. The policy
 * keeps the rest of queue and messages; removals of draining nodes may use more, as they may not
 * wait. Entries are weight entries of tables, counted once for each proxy that they go to.
 *
 * <p>Stateless and therefore thread-safe.
 */
public final class ChannelCapacity {
    /** Shares of the queue's limit and of a proxy's message limit; the policy has the rest. */
    private static final double QUEUE_SHARE = 0.5;

    private static final double QUEUE_SHARE_OF_DRAINS = 0.9;
    private static final double MESSAGE_SHARE = 0.7;
    private static final double MESSAGE_SHARE_OF_DRAINS = 0.9;

    /** How much later than usual an acknowledgement may come. */
    private static final long ACKNOWLEDGEMENT_SLACK_NANOS = 300_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private ChannelCapacity() {}

    /**
     * How many entries may be sent to each of so many proxies now.
     *
     * @param queueLimit the most entries that may be queued
     * @param queued entries in the queue
     * @param messageOverhead what a message counts by itself, in entries
     * @param drain whether the entries are removals of draining nodes
     * @return 0 or more
     */
    public static int availableEntries(
            double queueLimit, double queued, int proxies, double messageOverhead, boolean drain) {
        double capacity = (drain ? QUEUE_SHARE_OF_DRAINS : QUEUE_SHARE) * queueLimit - queued;
        return (int) Math.max(0, Math.floor(capacity / Math.max(1, proxies) - messageOverhead));
    }

    /**
     * How many entries of one table the channel can still deliver to each of its proxies within the
     * drain timeout and the queue's limit. Guards against changes that are each small but not
     * together, as all tables share the channel.
     *
     * @param entriesPerSecond the channel's rate
     * @param drainTimeoutNanos the drain timeout
     * @param queueLimit the most entries that may be queued
     * @param queued entries in the queue and on their way to it
     * @param messageOverhead what a message counts by itself, in entries
     * @return infinite without proxies; negative if too much is queued already
     */
    public static double deliverableEntries(
            double entriesPerSecond,
            long drainTimeoutNanos,
            double queueLimit,
            double queued,
            int proxies,
            double messageOverhead) {
        if (proxies == 0) {
            return Double.POSITIVE_INFINITY;
        }
        double delivered =
                Math.min(entriesPerSecond * drainTimeoutNanos / NANOS_PER_SECOND, queueLimit);
        return (delivered - queued) / proxies - messageOverhead;
    }

    /**
     * Whether a message should have been acknowledged by now. Its entries then count as queued: a
     * link that has become slow holds them where the controller cannot see them, and must not be
     * filled with what could wait.
     *
     * @param sinceWrittenNanos how long ago the message was written
     * @param longestRoundTripNanos the longest that a message and its acknowledgement usually take
     */
    public static boolean isOverdue(long sinceWrittenNanos, long longestRoundTripNanos) {
        return sinceWrittenNanos > longestRoundTripNanos + ACKNOWLEDGEMENT_SLACK_NANOS;
    }

    /**
     * How many entries of overdue messages count as queued: all of them if most proxies owe an
     * acknowledgement, else none. A few that do not answer are slow themselves, and must not keep
     * the others from theirs.
     *
     * @param entries entries of all overdue messages
     * @param lateProxies proxies with an overdue message
     * @param proxies all proxies
     */
    public static long overdueEntries(long entries, long lateProxies, long proxies) {
        return 2 * lateProxies > proxies ? entries : 0;
    }

    /**
     * Whether a proxy may be sent one more message.
     *
     * @param limit the most messages to one proxy within the span that is limited, 0 for no limit
     * @param written messages to it within that span
     * @param drain whether the message removes a draining node
     */
    public static boolean mayWriteMessage(int limit, int written, boolean drain) {
        return limit == 0
                || written + 1 <= (drain ? MESSAGE_SHARE_OF_DRAINS : MESSAGE_SHARE) * limit;
    }
}
