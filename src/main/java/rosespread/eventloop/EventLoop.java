package rosespread.eventloop;

import java.util.function.LongSupplier;
import java.util.function.LongUnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The body of the event loop's thread: drains the queue, runs what is due, waits, and begins again.
 * Everything an event or a round touches is owned by this thread.
 *
 * <p>An event or round that throws is logged and does not end the loop, not even by an {@link
 * Error} such as a heap that was full for a moment. Rounds that do nothing but fail do end it,
 * after {@link #MAX_FAILING_NANOS} and more than {@link #MAX_CONSECUTIVE_FAILURES} of them: a
 * controller that cannot decide must not look alive while its I/O threads go on answering.
 */
public final class EventLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

    /** Keeps a round that is always due from taking a whole core. */
    private static final long MIN_WAIT_NANOS = 200_000L;

    /** Bounds the delay of what was scheduled without a wake-up. */
    private static final long MAX_WAIT_NANOS = 20_000_000L;

    /** Rounds run between so many events, even under a load that never lets the queue run empty. */
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
     * An event loop on the clock of {@link System#nanoTime()}.
     *
     * @param queue the events; this loop is its only consumer
     * @param round runs what is due at the time it is given, and returns when to be called again;
     *     both are times of {@link System#nanoTime()}
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

    /** Runs on the calling thread until {@link #stop}, or until rounds have failed for good. */
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
            handleEvents(now);
            long nextNanos = runRound(now);
            long waitNanos = nextNanos - clock.getAsLong();
            queue.await(Math.min(MAX_WAIT_NANOS, Math.max(MIN_WAIT_NANOS, waitNanos)));
        }
    }

    private boolean hasFailedForGood() {
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

    /** Returns when to come back; at once if the round failed. */
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
