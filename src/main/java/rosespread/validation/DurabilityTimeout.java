package rosespread.validation;

/**
 * Decides how long a message waits until what it announces is on the disk. A proxy should learn of
 * nothing that a restart forgets, but a disk that is full, broken or slow must not delay a drain:
 * after the timeout messages leave without it, and go on so until the disk has caught up, rather
 * than each waiting again. What a restart forgot then is made up for as proxies rejoin and name the
 * versions that they hold.
 *
 * <p>Not thread-safe: owned by the event loop. Reads no clock.
 */
public final class DurabilityTimeout {
    /** The timeout as a part of the drain timeout; the rest is for the message's delivery. */
    private static final double SHARE_OF_DRAIN_TIMEOUT = 0.1;

    private final long timeoutNanos;
    private boolean late;
    private long sentBeforeDurable;

    /**
     * A timeout for messages that may have to bring a drain.
     *
     * @param drainTimeoutNanos the drain timeout
     */
    public DurabilityTimeout(long drainTimeoutNanos) {
        this.timeoutNanos = (long) (SHARE_OF_DRAIN_TIMEOUT * drainTimeoutNanos);
    }

    /**
     * Whether a message may be sent now.
     *
     * @param required the log sequence that the message announces
     * @param durable the log sequence up to which all is on the disk
     * @param failed whether the log cannot be written at all
     * @param waitedNanos how long the message has waited
     */
    public boolean maySend(long required, long durable, boolean failed, long waitedNanos) {
        if (durable >= required) {
            late = false;
            return true;
        }
        late |= waitedNanos >= timeoutNanos;
        if (failed || late) {
            sentBeforeDurable++;
            return true;
        }
        return false;
    }

    /** Whether the disk is late, so that messages are sent without waiting for it. */
    public boolean isDiskLate() {
        return late;
    }

    /** How many messages were sent before what they announce was on the disk. */
    public long sentBeforeDurable() {
        return sentBeforeDurable;
    }
}
