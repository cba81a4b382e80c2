package rosespread.eventloop;

import java.util.function.LongSupplier;
import java.util.function.LongUnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The body of the event loop's thread: repeatedly handles the queued events, runs the round if one
 * is due, and waits. The thread owns all state that events and rounds access.
 *
 * <p>An event or round that throws is logged and does not end the loop, even if it throws an {@link
 * Error}, for example because the heap was temporarily full. The loop ends if more than {@link
 * #MAX_CONSECUTIVE_FAILURES} rounds in a row have failed for more than {@link #MAX_FAILING_NANOS}:
 * a controller that cannot run rounds must not look healthy because its I/O threads still answer.
 */
public final class EventLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** Lower limit of the wait; prevents a round that is always due from occupying a whole core. */
    private static final long MIN_WAIT_NANOS = 200_000L;

    /**
     * Upper limit of the wait; bounds the delay of a round that was scheduled without waking the
     * thread.
     */
    private static final long MAX_WAIT_NANOS = 20_000_000L;

    /**
     * Limit of events per iteration, so that rounds run even under a load that never empties the
     * queue.
     */
    private static final int MAX_EVENTS_PER_ITERATION = 4097;

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
     * Creates an event loop that uses {@link System#nanoTime()} as its clock.
     *
     * @param queue the queue of events; this loop must be its only consumer
     * @param round runs the round if one is due at the given time, and returns the time of its next
     *     call; both are times of {@link System#nanoTime()}
     * @param onUnexpectedExit called once, on the loop's thread, if the loop ends without {@link
     *     #stop}
     */
    public EventLoop(EventQueue queue, LongUnaryOperator round, Runnable onUnexpectedExit) {
        this(queue, round, onUnexpectedExit, System::nanoTime);
    }

    EventLoop(
            EventQueue queue,
            LongUnaryOperator round,
            Runnable onUnexpectedExit,
            LongSupplier clock) {
        this.queue = queue;
        this.round = round;
        this.onUnexpectedExit = onUnexpectedExit;
        this.clock = clock;
    }

    /**
     * Runs on the calling thread until {@link #stop} is called or the limits of failing rounds are
     * exceeded.
     */
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
        while (!stopping && !hasFailedPermanently()) {
            long now = clock.getAsLong();
            handleEvents(now);
            long nextNanos = runRound(now);
            long waitNanos = nextNanos - clock.getAsLong();
            queue.await(Math.min(MAX_WAIT_NANOS, Math.max(MIN_WAIT_NANOS, waitNanos)));
        }
    }

    private boolean hasFailedPermanently() {
        return consecutiveFailures > MAX_CONSECUTIVE_FAILURES
                && clock.getAsLong() - failingSinceNanos > MAX_FAILING_NANOS;
    }

    private void handleEvents(long now) {
        for (int handled = 0; handled < MAX_EVENTS_PER_ITERATION; handled++) {
            EventQueue.Event event = queue.poll();
            if (event == null) {
                return;
            }
            handleEvent(event, now);
        }
    }

    private static void handleEvent(EventQueue.Event event, long now) {
        try {
            event.handle(now);
        } catch (RuntimeException | Error e) {
            LOG.error("event handler failed", e);
        }
    }

    /** Returns the time of the next call; that is {@code now} if the round failed. */
    private long runRound(long now) {
        try {
            long nextNanos = round.applyAsLong(now);
            consecutiveFailures = 0;
            return nextNanos;
        } catch (RuntimeException | Error e) {
            LOG.error("round failed", e);
            if (consecutiveFailures == 0) {
                failingSinceNanos = now;
            }
            consecutiveFailures++;
            return now;
        }
    }

    /** Ends the loop after its current iteration; may be called from any thread. */
    public void stop() {
        stopping = true;
    }
}
