package rosespread.validation;

/**
 * Decides how much may leave that the module did not order: the way back to a version, what a
 * refusal leaves out, and tables sent whole to proxies that could not follow. The module keeps the
 * rest of the queue and of the messages; a node that leaves may use more, as it may not wait.
 */
public final class ChannelCapacity {
    private static final double QUEUE = 0.5;
    private static final double QUEUE_DRAIN = 0.9;
    private static final double MESSAGES = 0.7;
    private static final double MESSAGES_DRAIN = 0.9;
    private static final long ANSWER_SLACK = 300_000_000L;

    private ChannelCapacity() {}

    /**
     * Lines that may go to each of so many proxies now.
     *
     * @param limit of lines in the queue; @param waiting lines there; @param head what a message
     *     counts by itself
     */
    public static int availableEntries(double limit, double waiting, int proxies, double head, boolean drain) {
        double room = (drain ? QUEUE_DRAIN : QUEUE) * limit - waiting;
        return (int) Math.max(0, Math.floor(room / Math.max(1, proxies) - head));
    }

    /**
     * Lines of one table that the channel can still carry to each of its proxies within the grace,
     * beside all that waits and with no more waiting than may: guards against changes that are each
     * small but not together, as the channel is one for all tables.
     *
     * @param perSecond the channel's pace; @param grace in nanoseconds; @param limit of lines in
     *     the queue;
     * @param waiting lines there and on their way to it; @param head what a message counts by
     *     itself
     */
    public static double deliverableEntries(
            double perSecond, long grace, double limit, double waiting, int proxies, double head) {
        return proxies == 0
                ? Double.POSITIVE_INFINITY
                : (Math.min(perSecond * grace / 1e9, limit) - waiting) / proxies - head;
    }

    /**
     * Whether a message that was written so long ago should have been answered: then its lines
     * count as waiting, since a link that has become slow holds them where the conductor cannot
     * see. Guards against filling a slow link with what could wait.
     *
     * @param way the longest that a message and its answer usually take, in nanoseconds
     */
    public static boolean overdue(long sinceWritten, long way) {
        return sinceWritten > way + ANSWER_SLACK;
    }

    /**
     * Lines that count as waiting beside those in the queue: those of overdue messages, if most
     * proxies owe one. A few that do not answer are slow themselves, and must not keep the others
     * from theirs.
     */
    public static long overdue(long lines, long late, long proxies) {
        return 2 * late > proxies ? lines : 0;
    }

    /**
     * Whether a proxy that was written so many messages within the span may be written one more.
     */
    public static boolean mayWriteMessage(int limit, int written, boolean drain) {
        return limit == 0 || written + 1 <= (drain ? MESSAGES_DRAIN : MESSAGES) * limit;
    }
}
