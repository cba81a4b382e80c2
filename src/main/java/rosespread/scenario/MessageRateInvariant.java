package rosespread.scenario;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that no proxy receives more messages within the channel's window than the message limit; a
 * limit of 0 means no limit. Values in messages. Confined to the loop's thread.
 */
final class MessageRateInvariant {
    private final InvariantResult result;
    private final int limit;
    private final long windowNanos;
    private final RunTimeline timeline;
    private final Map<String, ArrayDeque<Long>> arrivalsByProxy = new HashMap<>();

    MessageRateInvariant(Scenario scenario, RunTimeline timeline) {
        this.limit = scenario.channel().messageLimit();
        this.windowNanos = scenario.channel().messageWindowNanos();
        this.result = new InvariantResult("messagesPerProxy", limit);
        this.timeline = timeline;
    }

    InvariantResult result() {
        return result;
    }

    /** Discards the recorded arrivals, since the messages of an earlier stream do not count. */
    void proxyJoined(String proxy) {
        arrivals(proxy).clear();
    }

    void messageArrived(long nanos, String proxy) {
        ArrayDeque<Long> arrivals = arrivals(proxy);
        arrivals.addLast(nanos);
        while (nanos - arrivals.peekFirst() > windowNanos) {
            arrivals.removeFirst();
        }
        result.countCheck();
        String when = timeline.describe(nanos);
        result.recordValue(arrivals.size(), proxy + " at " + when);
        if (limit > 0 && arrivals.size() > limit) {
            result.recordViolation(
                    arrivals.size()
                            + " messages to "
                            + proxy
                            + " in the window ending at "
                            + when
                            + ", limit "
                            + limit);
        }
    }

    private ArrayDeque<Long> arrivals(String proxy) {
        return arrivalsByProxy.computeIfAbsent(proxy, name -> new ArrayDeque<>());
    }
}
