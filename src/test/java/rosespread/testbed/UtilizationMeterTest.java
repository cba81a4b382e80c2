package rosespread.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class UtilizationMeterTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final UtilizationMeter meter = new UtilizationMeter(2, 0);

    @Test
    void isZeroUntilFirstPeriodEnds() {
        assertEquals(0, meter.utilization(500 * NANOS_PER_MILLI, 2));
    }

    @Test
    void averagesBusyCoresOverPeriod() {
        meter.update(200 * NANOS_PER_MILLI, 0);
        meter.update(600 * NANOS_PER_MILLI, 1);
        assertEquals(0.5, meter.utilization(800 * NANOS_PER_MILLI, 2), 1e-9);
    }

    @Test
    void keepsValueUntilNextPeriodEnds() {
        assertEquals(1, meter.utilization(600 * NANOS_PER_MILLI, 2), 1e-9);
        meter.update(1000 * NANOS_PER_MILLI, 0);
        assertEquals(1, meter.utilization(1000 * NANOS_PER_MILLI, 0), 1e-9);
        assertEquals(0, meter.utilization(1200 * NANOS_PER_MILLI, 0), 1e-9);
    }
}
