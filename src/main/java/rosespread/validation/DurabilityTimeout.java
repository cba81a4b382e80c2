package rosespread.validation;

/**
 * Decides how long a message waits until what it tells is kept on disk. A proxy should hear of
 * nothing that a restart forgets, but a disk that is full, broken or slow must not delay a drain:
 * after a bound messages leave without it, and go on so until the disk has caught up, rather than
 * each waiting anew. What was forgotten then is made up for as proxies rejoin and tell which
 * versions they hold.
 */
public final class DurabilityTimeout {
    /** A part of the drain grace; the rest is the message's way. */
    private static final double PART = 0.1;

    private final long most;
    private boolean late;
    private long sentBeforeDurable;

    /**
     * @param grace in nanoseconds
     */
    public DurabilityTimeout(long grace) {
        this.most = (long) (PART * grace);
    }

    /**
     * @param after what the message waits for; @param durable what is kept by now; @param broken
     *     whether nothing can be kept; @param waited nanoseconds since the message was ordered
     */
    public boolean maySend(long after, long durable, boolean broken, long waited) {
        if (durable >= after) {
            late = false;
            return true;
        }
        late |= waited >= most;
        if (broken || late) {
            sentBeforeDurable++;
            return true;
        }
        return false;
    }

    /** Whether messages leave without waiting. */
    public boolean late() {
        return late;
    }

    /** Messages that left before what they told was kept. */
    public long sentBeforeDurable() {
        return sentBeforeDurable;
    }
}
