package rosespread.turn;

import java.util.function.LongUnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The body of a decision thread: takes what the inbox holds, then one turn, then waits. Nothing that goes
 * wrong in an event or a turn ends it.
 */
public final class DecisionLoop implements Runnable {
    private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);
    private static final long LEAST_SLEEP = 200_000L;
    private static final long LONGEST_SLEEP = 20_000_000L;
    private static final int EVENTS_A_TURN = 4096;

    private final Inbox inbox;
    private final LongUnaryOperator turn;
    private volatile boolean stopping;

    /** @param turn what is done at a time of {@link System#nanoTime()}; returns when to come back */
    public DecisionLoop(Inbox inbox, LongUnaryOperator turn) {
        this.inbox = inbox;
        this.turn = turn;
    }

    @Override
    public void run() {
        while (!stopping) {
            long now = System.nanoTime();
            Inbox.Event event = inbox.poll();
            for (int i = 0; event != null; i++) {
                guarded(event, now);
                event = i < EVENTS_A_TURN ? inbox.poll() : null;
            }
            long[] next = {now};
            guarded(time -> next[0] = turn.applyAsLong(time), now);
            inbox.await(Math.min(LONGEST_SLEEP, Math.max(LEAST_SLEEP, next[0] - System.nanoTime())));
        }
    }

    public void stop() {
        stopping = true;
    }

    /** One event that goes wrong must not end the only thread that decides: the rest go on. */
    private static void guarded(Inbox.Event event, long now) {
        try {
            event.at(now);
        } catch (RuntimeException e) {
            LOG.error("an event could not be taken up", e);
        }
    }
}
