package rosespread.controller;

import java.util.function.LongSupplier;

/**
 * Time of the event that the event loop is handling. All parts of the controller read the time
 * here, so that one event has one time and a test can drive the controller with its own clock.
 *
 * <p>Owned by the event-loop thread.
 */
final class EventClock {
    private final LongSupplier wallClockMillis;
    private long nowNanos;

    /**
     * @param wallClockMillis the wall clock, for times that are persisted or shown to operators
     */
    EventClock(LongSupplier wallClockMillis) {
        this.wallClockMillis = wallClockMillis;
    }

    /** Sets the time of the next event, by {@link System#nanoTime()}. */
    void advanceTo(long nanos) {
        nowNanos = nanos;
    }

    long nowNanos() {
        return nowNanos;
    }

    long wallMillis() {
        return wallClockMillis.getAsLong();
    }

    /** Returns the event's time and the wall-clock time, for a round that is closed now. */
    RoundTime roundTime() {
        return new RoundTime(nowNanos, wallMillis());
    }
}
