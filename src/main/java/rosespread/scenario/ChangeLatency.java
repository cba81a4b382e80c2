package rosespread.scenario;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import rosespread.channel.Frame;

/**
 * Measures how long changes take from a controller's round to the last proxy that applied them. The
 * time counts from when the policy ordered the round's first message to arrive, and so includes the
 * wait in the channel's queue. Confined to the loop's thread until the run has ended.
 */
final class ChangeLatency {
    private static final int HISTOGRAM_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MILLIS_PER_SECOND = 1_000;

    /** One round of a controller, with its entries summed over all proxies. */
    private static final class Round {
        final long orderedNanos;
        long lastAppliedNanos;
        double entries;

        Round(long orderedNanos) {
            this.orderedNanos = orderedNanos;
        }
    }

    private final double entriesPerSecond;
    private final Map<String, Round> rounds = new TreeMap<>();

    ChangeLatency(Scenario scenario) {
        this.entriesPerSecond = scenario.channel().entriesPerSecond();
    }

    /**
     * Returns the time at which the policy ordered the message that {@code mark} closes.
     *
     * @param nanos when the message arrived
     */
    static long orderedNanos(long nanos, Frame.Mark mark) {
        return nanos - mark.queuedMicros() * NANOS_PER_MICRO;
    }

    void messageArrived(long nanos, String controller, Frame.Mark mark) {
        rounds.computeIfAbsent(key(controller, mark), key -> new Round(orderedNanos(nanos, mark)))
                        .entries +=
                mark.lines();
    }

    void messageApplied(long nanos, String controller, Frame.Mark mark) {
        Round round = rounds.get(key(controller, mark));
        if (round != null) {
            round.lastAppliedNanos = nanos;
        }
    }

    /**
     * Returns the milliseconds from when a change was ordered to the last proxy that applied it.
     */
    Histogram changeMillis() {
        Histogram millis = new Histogram(HISTOGRAM_DIGITS);
        rounds.values().stream()
                .filter(round -> round.lastAppliedNanos > 0)
                .mapToLong(round -> Math.max(0, round.lastAppliedNanos - round.orderedNanos))
                .forEach(nanos -> millis.recordValue(nanos / NANOS_PER_MILLI));
        return millis;
    }

    /**
     * Returns, for each change, the milliseconds in which the channel sends the change's weight
     * entries at its rate limit, without any other delay.
     */
    Histogram pacedMillis() {
        Histogram millis = new Histogram(HISTOGRAM_DIGITS);
        rounds.values()
                .forEach(
                        round ->
                                millis.recordValue(
                                        (long)
                                                (round.entries
                                                        / entriesPerSecond
                                                        * MILLIS_PER_SECOND)));
        return millis;
    }

    private static String key(String controller, Frame.Mark mark) {
        return controller + "/" + mark.round();
    }
}
