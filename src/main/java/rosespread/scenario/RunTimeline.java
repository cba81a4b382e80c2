package rosespread.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The start of the measurement, and the periods in which the scenario itself suspended controllers
 * or slowed links. Time limits are extended for these periods, since no controller can prevent the
 * delay. All times in nanoseconds of the loop's clock. Confined to the loop's thread.
 */
final class RunTimeline {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    /** A delay; {@code untilNanos} is {@link Long#MAX_VALUE} until the delay has ended. */
    private record Delay(long fromNanos, long untilNanos, double factor) {}

    private final double backlogNanos;
    private final Map<String, Long> stoppedSince = new HashMap<>();
    private final List<Delay> stalls = new ArrayList<>();
    private final List<Delay> slowLinks = new ArrayList<>();
    private long measurementStartNanos;

    /**
     * @param channel the channel; its queue limit and rate bound how long entries that were queued
     *     for a slow link stay queued
     */
    RunTimeline(Scenario.Channel channel, long measurementStartNanos) {
        this.backlogNanos = channel.queueLimit() / channel.entriesPerSecond() * NANOS_PER_SECOND;
        this.measurementStartNanos = measurementStartNanos;
    }

    /** Sets the time that counts as 0 s in the texts of results. */
    void setMeasurementStart(long nanos) {
        measurementStartNanos = nanos;
    }

    /** Formats a time as seconds since the start of the measurement. */
    String describe(long nanos) {
        return String.format("%.2f s", (nanos - measurementStartNanos) / NANOS_PER_SECOND);
    }

    /** Formats the age of an event; an event at {@link Long#MIN_VALUE} never happened. */
    static String describeAge(long nowNanos, long eventNanos) {
        return eventNanos == Long.MIN_VALUE ? "never" : toMillis(nowNanos - eventNanos) + " ms ago";
    }

    /** Whole milliseconds, rounded towards zero. */
    static long toMillis(double nanos) {
        return (long) (nanos / NANOS_PER_MILLI);
    }

    /** Records that the process of a controller was suspended. */
    void controllerSuspended(String controller, long nanos) {
        stoppedSince.put(controller, nanos);
    }

    /**
     * Records that the process of a controller was resumed.
     *
     * @return when the process was suspended; empty if it was not suspended
     */
    OptionalLong controllerResumed(String controller, long nanos) {
        Long since = stoppedSince.remove(controller);
        if (since == null) {
            return OptionalLong.empty();
        }
        stalls.add(new Delay(since, nanos, 1));
        return OptionalLong.of(since);
    }

    /**
     * Records that all links send entries {@code factor} times more slowly than usual from now on;
     * 1 ends the slowdown.
     */
    void linksSlowed(long nanos, double factor) {
        int last = slowLinks.size() - 1;
        if (last >= 0 && slowLinks.get(last).untilNanos() == Long.MAX_VALUE) {
            Delay ended = slowLinks.remove(last);
            slowLinks.add(new Delay(ended.fromNanos(), nanos, ended.factor()));
        }
        if (factor > 1) {
            slowLinks.add(new Delay(nanos, Long.MAX_VALUE, factor));
        }
    }

    /**
     * A time limit that applies from {@code fromNanos} to {@code untilNanos}: {@code limitNanos}
     * multiplied by the largest slowdown of the links that affects this period, plus the times for
     * which controllers were suspended in it.
     */
    double extendedLimit(double limitNanos, long fromNanos, long untilNanos) {
        return limitNanos * slowdown(fromNanos, untilNanos) + stalledNanos(fromNanos, untilNanos);
    }

    private double slowdown(long fromNanos, long untilNanos) {
        double factor = 1;
        for (Delay slow : slowLinks) {
            // Entries queued while the links were slow delay later entries until the longest
            // possible queue has been sent.
            boolean stillQueued =
                    slow.untilNanos() == Long.MAX_VALUE
                            || slow.untilNanos() + backlogNanos > fromNanos;
            if (slow.fromNanos() < untilNanos && stillQueued) {
                factor = Math.max(factor, slow.factor());
            }
        }
        return factor;
    }

    private double stalledNanos(long fromNanos, long untilNanos) {
        double stalled = 0;
        for (Delay stall : stalls) {
            long overlap =
                    Math.min(untilNanos, stall.untilNanos())
                            - Math.max(fromNanos, stall.fromNanos());
            stalled += Math.max(0, overlap);
        }
        for (long since : stoppedSince.values()) {
            stalled += Math.max(0, untilNanos - Math.max(fromNanos, since));
        }
        return stalled;
    }
}
