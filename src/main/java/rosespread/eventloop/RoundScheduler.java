package rosespread.eventloop;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rosespread.api.EventHandler;
import rosespread.api.EventSource;

/**
 * Decides when the policy runs a round, and gathers the events for it. Rounds keep a minimum
 * interval, so that events which arrive together are one round; after a round that threw, a backoff
 * passes before the next.
 *
 * <p>Owned by the event loop's thread; not thread-safe. All times are nanoseconds of {@link
 * System#nanoTime()}.
 */
public final class RoundScheduler {
    /** Runs rounds, and replaces the policy after one that failed. */
    public interface RoundHandler {
        /**
         * Runs one round with the events since the last one. What it throws, an {@link Error}
         * included, is a failed round.
         */
        void runRound(EventSource events);

        /**
         * Called after a round that threw: the policy's state cannot be trusted, so a new policy is
         * to be made, told all that it needs, and {@link RoundScheduler#restart} called. If this
         * throws as well, it is called again after the backoff, and no round runs before.
         *
         * @param failure what the round threw
         */
        void roundFailed(Throwable failure);
    }

    private static final long MIN_ROUND_INTERVAL_NANOS = 10_000_000L;

    /** Keeps a failure that recurs at once from taking a whole core. */
    private static final long FAILURE_BACKOFF_NANOS = 1_000_000_000L;

    private List<Consumer<EventHandler>> pendingEvents = new ArrayList<>();
    private long scheduledNanos = Long.MAX_VALUE;
    private long lastRoundNanos = Long.MIN_VALUE / 2;
    private long backoffUntilNanos = Long.MIN_VALUE;

    /** What the last round threw, until {@link RoundHandler#roundFailed} has returned. */
    private Throwable unreportedFailure;

    private long roundsRun;
    private long totalRoundNanos;
    private long maxRoundNanos;
    private long failures;

    /** Adds an event for the next round, which is then due as soon as the interval allows. */
    public void add(Consumer<EventHandler> event) {
        pendingEvents.add(event);
    }

    /** Schedules a timer event for this time; an earlier one that is scheduled already stays. */
    public void scheduleAt(long nanos) {
        scheduledNanos = Math.min(scheduledNanos, nanos);
    }

    /**
     * Drops all events and the timer, which were meant for a former policy, and makes a first round
     * due for the new one.
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
     * @return when to call again, or {@link Long#MAX_VALUE} if nothing is scheduled
     * @throws RuntimeException or an {@link Error}, if {@link RoundHandler#roundFailed} throws it
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
            handler.runRound(receiver -> events.forEach(event -> event.accept(receiver)));
        } catch (RuntimeException | Error e) {
            failures++;
            unreportedFailure = e;
            backoffUntilNanos = now + FAILURE_BACKOFF_NANOS;
            reportFailure(handler);
        }
        recordDuration(System.nanoTime() - startNanos);
    }

    /**
     * The failure is forgotten only once the handler has returned, so that none goes unreported.
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
