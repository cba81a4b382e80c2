package rosespread.controller;

import java.util.function.LongSupplier;

/**
 * The time of the event that the event loop handles. All parts of the controller read it here, so
 * that one event has one time and a test drives the controller by a clock of its own.
 *
 * <p>Owned by the event-loop thread.
 */
final class EventClock {
    private final LongSupplier wallClockMillis;
    private long nowNanos;

    /**
     * @param wallClockMillis the wall clock, for what is persisted or shown to operators
     */
    EventClock(LongSupplier wallClockMillis) {
        this.wallClockMillis = wallClockMillis;
    }

    /** A new event begins at this time of {@link System#nanoTime()}. */
    void advanceTo(long nanos) {
        nowNanos = nanos;
    }

    long nowNanos() {
        return nowNanos;
    }

    long wallMillis() {
        return wallClockMillis.getAsLong();
    }

    /** Returns both times, for a round that is closed now. */
    RoundTime roundTime() {
        return new RoundTime(nowNanos, wallMillis());
    }
}
