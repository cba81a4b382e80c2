package rosespread.turn;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rosespread.api.Feed;
import rosespread.api.Observer;

/**
 * Keeps a module's rounds for one decision thread: what came in since the last, when it wants to be
 * woken, the least gap between two, and a pause after it threw. Times in nanoseconds.
 */
public final class Rounds {
    /** What a round is played with. */
    public interface Player {
        void round(Feed feed);

        /** The module threw and has lost its place; what begins it anew tells it all it needs. */
        void faulted(Throwable fault);
    }

    /** Rounds come at most this often, so that answers that arrive together are one round. */
    private static final long GAP = 10_000_000L;

    /** Keeps a fault that comes back from spinning. */
    private static final long FAULT_PAUSE = 1_000_000_000L;

    private List<Consumer<Observer>> calls = new ArrayList<>();
    private long wakeAt = Long.MAX_VALUE;
    private long last = Long.MIN_VALUE / 2;
    private long heldUntil = Long.MIN_VALUE;
    private Throwable fault;
    private long played;
    private long nanos;
    private long worst;
    private long faults;

    /** Something came in for the next round. */
    public void add(Consumer<Observer> call) {
        calls.add(call);
    }

    /** The module wants a round then, or earlier if it said so before. */
    public void wakeAt(long at) {
        wakeAt = Math.min(wakeAt, at);
    }

    /** A new module begins: what came for the old one is not for it, but a first round is. */
    public void begin() {
        calls = new ArrayList<>();
        wakeAt = Long.MAX_VALUE;
        calls.add(observer -> {});
    }

    /**
     * Plays a round if one is due; returns when to come back, {@link Long#MAX_VALUE} if nothing is
     * known.
     */
    public long turn(long now, Player player) {
        if (fault != null && now >= heldUntil) {
            heldUntil = now + FAULT_PAUSE;
            beginAnew(player);
        }
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
            calls.add(Observer::woke);
        }
        if (calls.isEmpty()) {
            return wakeAt;
        }
        long at = Math.max(last + GAP, heldUntil);
        if (now < at) {
            return Math.min(wakeAt, at);
        }
        play(now, player);
        return calls.isEmpty() ? wakeAt : Math.min(wakeAt, heldUntil);
    }

    /**
     * Until it has begun without a throw of its own: guards against no module at all, and no round
     * ever.
     */
    private void beginAnew(Player player) {
        player.faulted(fault);
        fault = null;
    }

    private void play(long now, Player player) {
        List<Consumer<Observer>> told = calls;
        calls = new ArrayList<>();
        last = now;
        long began = System.nanoTime();
        try {
            player.round(observer -> told.forEach(call -> call.accept(observer)));
        } catch (RuntimeException | Error e) {
            faults++;
            fault = e;
            heldUntil = now + FAULT_PAUSE;
            beginAnew(player);
        }
        long took = System.nanoTime() - began;
        played++;
        nanos += took;
        worst = Math.max(worst, took);
    }

    public long played() {
        return played;
    }

    /** The mean time of a round, 0 before any. */
    public double meanNanos() {
        return played == 0 ? 0 : (double) nanos / played;
    }

    public long worstNanos() {
        return worst;
    }

    public long faults() {
        return faults;
    }
}
