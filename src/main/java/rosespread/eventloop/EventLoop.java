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
    private static final long LEAST_SLEEP = 200_000L;
    private static final long LONGEST_SLEEP = 20_000_000L;
    private static final int EVENTS_A_TURN = 4096;

    /** Turns that only failed for so long, and so often, will not come right again. */
    private static final long FAILING_MOST = 10_000_000_000L;

    private static final int FAILURES_MOST = 10;

    private final EventQueue inbox;
    private final LongUnaryOperator turn;
    private final LongSupplier clock;
    private final Runnable lost;
    private volatile boolean stopping;
    private int failures;
    private long failingSince;

    /**
     * @param turn what is done at a time of {@link System#nanoTime()}; returns when to come back
     * @param lost called once, on this thread, if it ends though nobody stopped it
     */
    public EventLoop(EventQueue inbox, LongUnaryOperator turn, Runnable lost) {
        this(inbox, turn, lost, System::nanoTime);
    }

    EventLoop(EventQueue inbox, LongUnaryOperator turn, Runnable lost, LongSupplier clock) {
        this.inbox = inbox;
        this.turn = turn;
        this.lost = lost;
        this.clock = clock;
    }

    @Override
    public void run() {
        try {
            decide();
        } finally {
            if (!stopping) {
                lost.run();
            }
        }
    }

    private void decide() {
        while (!stopping && !failing()) {
            long now = clock.getAsLong();
            EventQueue.Event event = inbox.poll();
            for (int i = 0; event != null; i++) {
                guarded(event, now);
                event = i < EVENTS_A_TURN ? inbox.poll() : null;
            }
            long[] next = {now};
            boolean well = guarded(time -> next[0] = turn.applyAsLong(time), now);
            failingSince = failures == 0 ? now : failingSince;
            failures = well ? 0 : failures + 1;
            inbox.await(
                    Math.min(LONGEST_SLEEP, Math.max(LEAST_SLEEP, next[0] - clock.getAsLong())));
        }
    }

    private boolean failing() {
        return failures > FAILURES_MOST && clock.getAsLong() - failingSince > FAILING_MOST;
    }

    public void stop() {
        stopping = true;
    }

    /**
     * One event that goes wrong must not end the only thread that decides: the rest go on. That
     * holds for an Error too, such as a heap that was full for a moment; the thread would end
     * without a word.
     */
    private static boolean guarded(EventQueue.Event event, long now) {
        try {
            event.handle(now);
            return true;
        } catch (RuntimeException | Error e) {
            LOG.error("an event could not be taken up", e);
            return false;
        }
    }
}
