package rosespread.validation;

/**
 * Decides how long a message waits until the log entry that it announces is on disk. A proxy should
 * not receive a table version that the controller loses in a restart, but a full, broken or slow
 * disk must not delay a drain. After the timeout, messages are therefore sent without waiting for
 * the disk until the log has caught up; otherwise each message would wait for a timeout of its own.
 * If a restart then loses versions, the controller recovers when proxies reconnect and report the
 * versions that they hold.
 *
 * <p>Not thread-safe: owned by the controller's event loop. Reads no clock.
 */
public final class DurabilityTimeout {
    /**
     * Fraction of the drain timeout for which a message may wait for the disk; the rest is for the
     * delivery of the message.
     */
    private static final double DRAIN_TIMEOUT_SHARE = 0.1;

    private final long timeoutNanos;
    private boolean diskLate;
    private long sentBeforeDurable;

    /**
     * Creates a timeout for messages that may remove a draining node.
     *
     * @param drainTimeoutNanos the drain timeout
     */
    public DurabilityTimeout(long drainTimeoutNanos) {
        this.timeoutNanos = (long) (DRAIN_TIMEOUT_SHARE * drainTimeoutNanos);
    }

    /**
     * Returns whether a message may be sent now.
     *
     * @param requiredSequence the sequence of the log entry that the message announces
     * @param durableSequence the sequence up to which all log entries are on disk
     * @param logFailed whether the log cannot be written at all
     * @param waitedNanos how long the message has waited
     */
    public boolean maySend(
            long requiredSequence, long durableSequence, boolean logFailed, long waitedNanos) {
        if (durableSequence >= requiredSequence) {
            diskLate = false;
            return true;
        }
        diskLate |= waitedNanos >= timeoutNanos;
        if (logFailed || diskLate) {
            sentBeforeDurable++;
            return true;
        }
        return false;
    }

    /** Returns whether messages are sent without waiting because the disk is behind. */
    public boolean isDiskLate() {
        return diskLate;
    }

    /** Returns how many messages were sent before the announced log entry was on disk. */
    public long sentBeforeDurable() {
        return sentBeforeDurable;
    }
}
