package rosespread.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * When the day began, and while which times the scenario itself held up controllers or links.
 * Bounds on time are extended by these delays, since no controller can answer for them. All times
 * in nanoseconds of the loop's clock. Confined to the loop's thread.
 */
final class RunTimeline {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    /** A time of delay; {@code untilNanos} is {@link Long#MAX_VALUE} while it lasts. */
    private record Delay(long fromNanos, long untilNanos, double factor) {}

    private final double backlogNanos;
    private final Map<String, Long> stoppedSince = new HashMap<>();
    private final List<Delay> stalls = new ArrayList<>();
    private final List<Delay> slowLinks = new ArrayList<>();
    private long measurementStartNanos;

    /**
     * @param channel its queue limit bounds how long entries that queued up on a slow link stay in
     *     it
     */
    RunTimeline(Scenario.Channel channel, long measurementStartNanos) {
        this.backlogNanos = channel.queueLimit() / channel.entriesPerSecond() * NANOS_PER_SECOND;
        this.measurementStartNanos = measurementStartNanos;
    }

    /** Times in texts count from here on. */
    void setMeasurementStart(long nanos) {
        measurementStartNanos = nanos;
    }

    /** A time as seconds of the day. */
    String describe(long nanos) {
        return String.format("%.2f s", (nanos - measurementStartNanos) / NANOS_PER_SECOND);
    }

    /** How long before {@code now} an event was, if it was. */
    static String describeAge(long nowNanos, long eventNanos) {
        return eventNanos == Long.MIN_VALUE ? "never" : toMillis(nowNanos - eventNanos) + " ms ago";
    }

    /** Whole milliseconds, rounded towards zero. */
    static long toMillis(double nanos) {
        return (long) (nanos / NANOS_PER_MILLI);
    }

    /** The process of a controller was suspended. */
    void controllerStopped(String controller, long nanos) {
        stoppedSince.put(controller, nanos);
    }

    /**
     * The process of a controller runs again.
     *
     * @return since when it had stood still; empty if it had not
     */
    OptionalLong controllerResumed(String controller, long nanos) {
        Long since = stoppedSince.remove(controller);
        if (since == null) {
            return OptionalLong.empty();
        }
        stalls.add(new Delay(since, nanos, 1));
        return OptionalLong.of(since);
    }

    /** From now on entries pass links so many times slower; 1 ends it. */
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
     * A bound on the time between two moments, multiplied by the factor of a slow channel and
     * extended by the time that controllers stood still.
     */
    double extendedLimit(double limitNanos, long fromNanos, long untilNanos) {
        return limitNanos * slowdown(fromNanos, untilNanos) + stalledNanos(fromNanos, untilNanos);
    }

    private double slowdown(long fromNanos, long untilNanos) {
        double factor = 1;
        for (Delay slow : slowLinks) {
            // What queued up while the channel was slow is still in it for as long as the queue's
            // limit allows.
            boolean reaches =
                    slow.untilNanos() == Long.MAX_VALUE
                            || slow.untilNanos() + backlogNanos > fromNanos;
            if (slow.fromNanos() < untilNanos && reaches) {
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
