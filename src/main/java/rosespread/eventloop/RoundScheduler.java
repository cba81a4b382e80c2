package rosespread.eventloop;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rosespread.api.EventHandler;
import rosespread.api.EventSource;

/**
 * Keeps a module's rounds for one decision thread: what came in since the last, when it wants to be
 * woken, the least gap between two, and a pause after it threw. Times in nanoseconds.
 */
public final class RoundScheduler {
    /** What a round is played with. */
    public interface RoundHandler {
        void runRound(EventSource feed);

        /** The module threw and has lost its place; what begins it anew tells it all it needs. */
        void roundFailed(Throwable fault);
    }

    /**
     * RoundScheduler come at most this often, so that answers that arrive together are one round.
     */
    private static final long MIN_ROUND_INTERVAL_NANOS = 10_000_000L;

    /** Keeps a fault that comes back from spinning. */
    private static final long FAILURE_BACKOFF_NANOS = 1_000_000_000L;

    private List<Consumer<EventHandler>> pendingEvents = new ArrayList<>();
    private long scheduledNanos = Long.MAX_VALUE;
    private long lastRoundNanos = Long.MIN_VALUE / 2;
    private long backoffUntilNanos = Long.MIN_VALUE;
    private Throwable unreportedFailure;
    private long roundsRun;
    private long totalRoundNanos;
    private long maxRoundNanos;
    private long failures;

    /** Something came in for the next round. */
    public void add(Consumer<EventHandler> call) {
        pendingEvents.add(call);
    }

    /** The module wants a round then, or earlier if it said so before. */
    public void scheduleAt(long at) {
        scheduledNanos = Math.min(scheduledNanos, at);
    }

    /** A new module begins: what came for the old one is not for it, but a first round is. */
    public void restart() {
        pendingEvents = new ArrayList<>();
        scheduledNanos = Long.MAX_VALUE;
        pendingEvents.add(observer -> {});
    }

    /**
     * Plays a round if one is due; returns when to come back, {@link Long#MAX_VALUE} if nothing is
     * known.
     */
    public long runDue(long now, RoundHandler player) {
        if (unreportedFailure != null && now >= backoffUntilNanos) {
            backoffUntilNanos = now + FAILURE_BACKOFF_NANOS;
            reportFailure(player);
        }
        if (now >= scheduledNanos) {
            scheduledNanos = Long.MAX_VALUE;
            pendingEvents.add(EventHandler::timerFired);
        }
        if (pendingEvents.isEmpty()) {
            return scheduledNanos;
        }
        long at = Math.max(lastRoundNanos + MIN_ROUND_INTERVAL_NANOS, backoffUntilNanos);
        if (now < at) {
            return Math.min(scheduledNanos, at);
        }
        runRound(now, player);
        return pendingEvents.isEmpty()
                ? scheduledNanos
                : Math.min(scheduledNanos, backoffUntilNanos);
    }

    /**
     * Until it has begun without a throw of its own: guards against no module at all, and no round
     * ever.
     */
    private void reportFailure(RoundHandler player) {
        player.roundFailed(unreportedFailure);
        unreportedFailure = null;
    }

    private void runRound(long now, RoundHandler player) {
        List<Consumer<EventHandler>> told = pendingEvents;
        pendingEvents = new ArrayList<>();
        lastRoundNanos = now;
        long began = System.nanoTime();
        try {
            player.runRound(observer -> told.forEach(call -> call.accept(observer)));
        } catch (RuntimeException | Error e) {
            failures++;
            unreportedFailure = e;
            backoffUntilNanos = now + FAILURE_BACKOFF_NANOS;
            reportFailure(player);
        }
        long took = System.nanoTime() - began;
        roundsRun++;
        totalRoundNanos += took;
        maxRoundNanos = Math.max(maxRoundNanos, took);
    }

    public long roundsRun() {
        return roundsRun;
    }

    /** The mean time of a round, 0 before any. */
    public double meanNanos() {
        return roundsRun == 0 ? 0 : (double) totalRoundNanos / roundsRun;
    }

    public long maxNanos() {
        return maxRoundNanos;
    }

    public long failures() {
        return failures;
    }
}
