package rosespread.eventloop;

import java.util.function.LongSupplier;
import java.util.function.LongUnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The body of a decision thread: takes what the inbox holds, then one turn, then waits. One event
 * or turn that goes wrong does not end it, an Error among them; turns that do nothing but fail do,
 * as a conductor that can't decide must not look alive while its other threads go on answering.
 */
public final class EventLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final long MIN_WAIT_NANOS = 200_000L;
    private static final long MAX_WAIT_NANOS = 20_000_000L;
    private static final int MAX_EVENTS_PER_ITERATION = 4096;

    /** Turns that only failed for so long, and so often, will not come right again. */
    private static final long MAX_FAILING_NANOS = 10_000_000_000L;

    private static final int MAX_CONSECUTIVE_FAILURES = 10;

    private final EventQueue queue;
    private final LongUnaryOperator round;
    private final LongSupplier clock;
    private final Runnable onUnexpectedExit;
    private volatile boolean stopping;
    private int consecutiveFailures;
    private long failingSinceNanos;

    /**
     * @param turn what is done at a time of {@link System#nanoTime()}; returns when to come back
     * @param lost called once, on this thread, if it ends though nobody stopped it
     */
    public EventLoop(EventQueue inbox, LongUnaryOperator turn, Runnable lost) {
        this(inbox, turn, lost, System::nanoTime);
    }

    EventLoop(EventQueue inbox, LongUnaryOperator turn, Runnable lost, LongSupplier clock) {
        this.queue = inbox;
        this.round = turn;
        this.onUnexpectedExit = lost;
        this.clock = clock;
    }

    @Override
    public void run() {
        try {
            runUntilStopped();
        } finally {
            if (!stopping) {
                onUnexpectedExit.run();
            }
        }
    }

    private void runUntilStopped() {
        while (!stopping && !hasFailedForGood()) {
            long now = clock.getAsLong();
            EventQueue.Event event = queue.poll();
            for (int i = 0; event != null; i++) {
                runGuarded(event, now);
                event = i < MAX_EVENTS_PER_ITERATION ? queue.poll() : null;
            }
            long[] next = {now};
            boolean well = runGuarded(time -> next[0] = round.applyAsLong(time), now);
            failingSinceNanos = consecutiveFailures == 0 ? now : failingSinceNanos;
            consecutiveFailures = well ? 0 : consecutiveFailures + 1;
            queue.await(
                    Math.min(
                            MAX_WAIT_NANOS, Math.max(MIN_WAIT_NANOS, next[0] - clock.getAsLong())));
        }
    }

    private boolean hasFailedForGood() {
        return consecutiveFailures > MAX_CONSECUTIVE_FAILURES
                && clock.getAsLong() - failingSinceNanos > MAX_FAILING_NANOS;
    }

    public void stop() {
        stopping = true;
    }

    /**
     * One event that goes wrong must not end the only thread that decides: the rest go on. That
     * holds for an Error too, such as a heap that was full for a moment; the thread would end
     * without a word.
     */
    private static boolean runGuarded(EventQueue.Event event, long now) {
        try {
            event.handle(now);
            return true;
        } catch (RuntimeException | Error e) {
            LOG.error("an event could not be taken up", e);
            return false;
        }
    }
}
