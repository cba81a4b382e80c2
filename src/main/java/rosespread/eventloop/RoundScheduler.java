package rosespread.eventloop;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rosespread.api.EventHandler;
import rosespread.api.EventSource;

/**
 * Decides when the policy runs a round, and collects the events for that round. Rounds have a
 * minimum interval, so that events which arrive together share one round. After a round that threw,
 * the next one runs only after a backoff.
 *
 * <p>Not thread-safe; owned by the event loop's thread. All times are nanoseconds of {@link
 * System#nanoTime()}.
 */
public final class RoundScheduler {
    /** Runs rounds, and replaces the policy after a failed round. */
    public interface RoundHandler {
        /**
         * Runs one round with the events since the last one. The round has failed if this throws an
         * exception or {@link Error}.
         */
        void runRound(EventSource events);

        /**
         * Called after a failed round, whose policy may be in an inconsistent state. The handler
         * must create a new policy, call {@link RoundScheduler#restart}, and supply the new policy
         * with its input. If this method throws, it is called again after the backoff; no round
         * runs until then.
         *
         * @param failure the exception or error that the round threw
         */
        void roundFailed(Throwable failure);
    }

    private static final long MIN_ROUND_INTERVAL_NANOS = 10_000_000L;

    /** Prevents a failure that recurs immediately from occupying a whole core. */
    private static final long FAILURE_BACKOFF_NANOS = 1_000_000_000L;

    private List<Consumer<EventHandler>> pendingEvents = new ArrayList<>();
    private long scheduledNanos = Long.MAX_VALUE;
    private long lastRoundNanos = Long.MIN_VALUE / 2;
    private long backoffUntilNanos = Long.MIN_VALUE;

    /** The failure that {@link RoundHandler#roundFailed} has yet to handle, or null. */
    private Throwable unreportedFailure;

    private long roundsRun;
    private long totalRoundNanos;
    private long maxRoundNanos;
    private long failures;

    /**
     * Adds an event for the next round, which is due as soon as the minimum interval and the
     * backoff allow.
     */
    public void add(Consumer<EventHandler> event) {
        pendingEvents.add(event);
    }

    /** Schedules a timer event for the given time, unless an earlier one is already scheduled. */
    public void scheduleAt(long nanos) {
        scheduledNanos = Math.min(scheduledNanos, nanos);
    }

    /**
     * Discards all pending events and the timer, which belong to the previous policy, and makes the
     * first round of the new policy due.
     */
    public void restart() {
        pendingEvents = new ArrayList<>();
        scheduledNanos = Long.MAX_VALUE;
        pendingEvents.add(handler -> {});
    }

    /**
     * Runs a round if one is due.
     *
     * @param now the current time
     * @return the time of the next call, or {@link Long#MAX_VALUE} if nothing is scheduled
     * @throws RuntimeException if {@link RoundHandler#roundFailed} throws it; an {@link Error}
     *     likewise
     */
    public long runDue(long now, RoundHandler handler) {
        if (unreportedFailure != null && now >= backoffUntilNanos) {
            backoffUntilNanos = now + FAILURE_BACKOFF_NANOS;
            reportFailure(handler);
        }
        if (now >= scheduledNanos) {
            scheduledNanos = Long.MAX_VALUE;
            pendingEvents.add(EventHandler::timerFired);
        }
        if (pendingEvents.isEmpty()) {
            return scheduledNanos;
        }
        long earliestNanos = Math.max(lastRoundNanos + MIN_ROUND_INTERVAL_NANOS, backoffUntilNanos);
        if (now < earliestNanos) {
            return Math.min(scheduledNanos, earliestNanos);
        }
        runRound(now, handler);
        return pendingEvents.isEmpty()
                ? scheduledNanos
                : Math.min(scheduledNanos, backoffUntilNanos);
    }

    private void runRound(long now, RoundHandler handler) {
        List<Consumer<EventHandler>> events = pendingEvents;
        pendingEvents = new ArrayList<>();
        lastRoundNanos = now;
        long startNanos = System.nanoTime();
        try {
            handler.runRound(eventHandler -> events.forEach(event -> event.accept(eventHandler)));
        } catch (RuntimeException | Error e) {
            failures++;
            unreportedFailure = e;
            backoffUntilNanos = now + FAILURE_BACKOFF_NANOS;
            reportFailure(handler);
        }
        recordDuration(System.nanoTime() - startNanos);
    }

    /**
     * Reports the failure, and clears it only after the handler has returned, so that a handler
     * that throws is called again.
     */
    private void reportFailure(RoundHandler handler) {
        handler.roundFailed(unreportedFailure);
        unreportedFailure = null;
    }

    private void recordDuration(long durationNanos) {
        roundsRun++;
        totalRoundNanos += durationNanos;
        maxRoundNanos = Math.max(maxRoundNanos, durationNanos);
    }

    /** The number of rounds run, failed ones included. */
    public long roundsRun() {
        return roundsRun;
    }

    /** The mean duration of a round in nanoseconds; 0 before the first. */
    public double meanNanos() {
        return roundsRun == 0 ? 0 : (double) totalRoundNanos / roundsRun;
    }

    /** The longest duration of a round in nanoseconds; 0 before the first. */
    public long maxNanos() {
        return maxRoundNanos;
    }

    /** The number of rounds that threw. */
    public long failures() {
        return failures;
    }
}
