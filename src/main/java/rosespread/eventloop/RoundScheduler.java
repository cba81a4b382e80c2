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
    private static final long GAP = 10_000_000L;

    /** Keeps a fault that comes back from spinning. */
    private static final long FAULT_PAUSE = 1_000_000_000L;

    private List<Consumer<EventHandler>> calls = new ArrayList<>();
    private long scheduleAt = Long.MAX_VALUE;
    private long last = Long.MIN_VALUE / 2;
    private long heldUntil = Long.MIN_VALUE;
    private Throwable fault;
    private long roundsRun;
    private long nanos;
    private long worst;
    private long failures;

    /** Something came in for the next round. */
    public void add(Consumer<EventHandler> call) {
        calls.add(call);
    }

    /** The module wants a round then, or earlier if it said so before. */
    public void scheduleAt(long at) {
        scheduleAt = Math.min(scheduleAt, at);
    }

    /** A new module begins: what came for the old one is not for it, but a first round is. */
    public void restart() {
        calls = new ArrayList<>();
        scheduleAt = Long.MAX_VALUE;
        calls.add(observer -> {});
    }

    /**
     * Plays a round if one is due; returns when to come back, {@link Long#MAX_VALUE} if nothing is
     * known.
     */
    public long runDue(long now, RoundHandler player) {
        if (fault != null && now >= heldUntil) {
            heldUntil = now + FAULT_PAUSE;
            beginAnew(player);
        }
        if (now >= scheduleAt) {
            scheduleAt = Long.MAX_VALUE;
            calls.add(EventHandler::timerFired);
        }
        if (calls.isEmpty()) {
            return scheduleAt;
        }
        long at = Math.max(last + GAP, heldUntil);
        if (now < at) {
            return Math.min(scheduleAt, at);
        }
        play(now, player);
        return calls.isEmpty() ? scheduleAt : Math.min(scheduleAt, heldUntil);
    }

    /**
     * Until it has begun without a throw of its own: guards against no module at all, and no round
     * ever.
     */
    private void beginAnew(RoundHandler player) {
        player.roundFailed(fault);
        fault = null;
    }

    private void play(long now, RoundHandler player) {
        List<Consumer<EventHandler>> told = calls;
        calls = new ArrayList<>();
        last = now;
        long began = System.nanoTime();
        try {
            player.runRound(observer -> told.forEach(call -> call.accept(observer)));
        } catch (RuntimeException | Error e) {
            failures++;
            fault = e;
            heldUntil = now + FAULT_PAUSE;
            beginAnew(player);
        }
        long took = System.nanoTime() - began;
        roundsRun++;
        nanos += took;
        worst = Math.max(worst, took);
    }

    public long roundsRun() {
        return roundsRun;
    }

    /** The mean time of a round, 0 before any. */
    public double meanNanos() {
        return roundsRun == 0 ? 0 : (double) nanos / roundsRun;
    }

    public long maxNanos() {
        return worst;
    }

    public long failures() {
        return failures;
    }
}
