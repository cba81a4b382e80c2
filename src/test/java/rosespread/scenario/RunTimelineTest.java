package rosespread.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class RunTimelineTest {
    private static final long SECOND = 1_000_000_000L;

    /** A queue of 1000 entries at 500 entries per second: a full queue is sent in 2 s. */
    private static final Scenario.Channel CHANNEL =
            new Scenario.Channel(500, 8, 1000, 30, 10 * SECOND, Scenario.AdmissionMode.RATE, 0.05);

    private final RunTimeline timeline = new RunTimeline(CHANNEL, 0);

    @Test
    void limitIsUnchangedWithoutDelays() {
        assertEquals(3 * SECOND, timeline.extendedLimit(3 * SECOND, SECOND, 5 * SECOND));
    }

    @Test
    void limitGrowsBySuspendedTime() {
        timeline.controllerSuspended("c0", 2 * SECOND);
        assertEquals(OptionalLong.of(2 * SECOND), timeline.controllerResumed("c0", 3 * SECOND));
        assertEquals(4 * SECOND, timeline.extendedLimit(3 * SECOND, SECOND, 5 * SECOND));
        assertEquals(3 * SECOND, timeline.extendedLimit(3 * SECOND, 3 * SECOND, 5 * SECOND));
    }

    @Test
    void limitGrowsWhileControllerIsSuspended() {
        timeline.controllerSuspended("c0", 2 * SECOND);
        assertEquals(6 * SECOND, timeline.extendedLimit(3 * SECOND, SECOND, 5 * SECOND));
    }

    @Test
    void resumingRunningControllerReturnsEmpty() {
        assertEquals(OptionalLong.empty(), timeline.controllerResumed("c0", SECOND));
    }

    @Test
    void slowLinksMultiplyLimitUntilBacklogIsSent() {
        timeline.linksSlowed(2 * SECOND, 3);
        assertEquals(9 * SECOND, timeline.extendedLimit(3 * SECOND, SECOND, 5 * SECOND));
        timeline.linksSlowed(4 * SECOND, 1);
        assertEquals(9 * SECOND, timeline.extendedLimit(3 * SECOND, 5 * SECOND, 8 * SECOND));
        assertEquals(3 * SECOND, timeline.extendedLimit(3 * SECOND, 7 * SECOND, 8 * SECOND));
    }

    @Test
    void describesTimesSinceStartOfMeasurement() {
        timeline.setMeasurementStart(10 * SECOND);
        assertEquals(String.format("%.2f s", -1.5), timeline.describe(8_500_000_000L));
        assertEquals("never", RunTimeline.describeAge(SECOND, Long.MIN_VALUE));
        assertEquals("250 ms ago", RunTimeline.describeAge(SECOND, 750_000_000L));
    }
}
