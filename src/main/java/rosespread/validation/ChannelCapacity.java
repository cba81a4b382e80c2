package rosespread.validation;

/**
 * Limits the messages that the controller sends in addition to those that the routing policy
 * orders: rollbacks, replacements of refused changes, and full tables for proxies that missed a
 * delta. These messages may use half of the queue limit and 70 % of each proxy's message limit; the
 * rest is reserved for the policy. Removals of draining nodes may use 90 % of each limit, because
 * such removals must not wait. Entries are weight entries of tables, counted once for each
 * receiving proxy.
 *
 * <p>Stateless and therefore thread-safe.
 */
public final class ChannelCapacity {
    /**
     * Fraction of the queue limit up to which messages that the policy did not order may fill the
     * queue; the rest is reserved for the policy's messages.
     */
    private static final double QUEUE_SHARE = 0.5;

    private static final double QUEUE_SHARE_OF_DRAINS = 0.9;

    /**
     * Fraction of a proxy's message limit up to which messages that the policy did not order may be
     * sent; the rest is reserved for the policy's messages.
     */
    private static final double MESSAGE_SHARE = 0.7;

    private static final double MESSAGE_SHARE_OF_DRAINS = 0.9;

    /**
     * Time beyond the longest usual round trip after which a missing acknowledgement is overdue.
     */
    private static final long ACKNOWLEDGEMENT_SLACK_NANOS = 300_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private ChannelCapacity() {}

    /**
     * Returns how many entries may be sent to each of the proxies now.
     *
     * @param queueLimit the maximum number of queued entries
     * @param queued entries in the queue
     * @param proxies the number of receiving proxies
     * @param messageOverhead the cost of a message without entries, in entries
     * @param drain whether the entries are removals of draining nodes
     * @return 0 or more
     */
    public static int availableEntries(
            double queueLimit, double queued, int proxies, double messageOverhead, boolean drain) {
        double capacity = (drain ? QUEUE_SHARE_OF_DRAINS : QUEUE_SHARE) * queueLimit - queued;
        return (int) Math.max(0, Math.floor(capacity / Math.max(1, proxies) - messageOverhead));
    }

    /**
     * Returns how many entries of one table the channel can still deliver to each of the table's
     * proxies within the drain timeout and the queue limit. All tables share the channel, so this
     * limit prevents many small changes from overloading the channel together.
     *
     * @param entriesPerSecond the channel's rate in weight entries per second
     * @param drainTimeoutNanos the drain timeout
     * @param queueLimit the maximum number of queued entries
     * @param queued the number of entries in the queue or committed in this round and not queued
     *     yet
     * @param proxies the number of proxies that use the table
     * @param messageOverhead the cost of a message without entries, in entries
     * @return infinite without proxies; negative if the queued entries already exceed what can be
     *     delivered
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
        double deliverable =
                Math.min(entriesPerSecond * drainTimeoutNanos / NANOS_PER_SECOND, queueLimit);
        return (deliverable - queued) / proxies - messageOverhead;
    }

    /**
     * Returns whether the acknowledgement of a message is overdue. The entries of an overdue
     * message count as queued: a slow link buffers them where the controller cannot see them, and
     * messages that can wait must not add to that backlog.
     *
     * @param sinceWrittenNanos time since the message was written
     * @param longestRoundTripNanos the longest usual time from a message to its acknowledgement
     */
    public static boolean isOverdue(long sinceWrittenNanos, long longestRoundTripNanos) {
        return sinceWrittenNanos > longestRoundTripNanos + ACKNOWLEDGEMENT_SLACK_NANOS;
    }

    /**
     * Returns how many entries of overdue messages count as queued: all of them if more than half
     * of the proxies have an overdue acknowledgement, else none. If at most half of the proxies do
     * not acknowledge, the cause is these proxies and not the channel, and the slow proxies must
     * not delay messages to the others.
     *
     * @param entries the number of entries in all overdue messages
     * @param lateProxies the number of proxies with an overdue message
     * @param proxies the number of all proxies
     */
    public static long overdueEntries(long entries, long lateProxies, long proxies) {
        return 2 * lateProxies > proxies ? entries : 0;
    }

    /**
     * Returns whether one more message may be sent to a proxy.
     *
     * @param limit the maximum number of messages to one proxy within the window of the message
     *     limit, 0 for no limit
     * @param written messages to the proxy within that window
     * @param drain whether the message removes a draining node
     */
    public static boolean mayWriteMessage(int limit, int written, boolean drain) {
        return limit == 0
                || written + 1 <= (drain ? MESSAGE_SHARE_OF_DRAINS : MESSAGE_SHARE) * limit;
    }
}
