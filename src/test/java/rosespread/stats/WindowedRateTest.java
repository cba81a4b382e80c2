package rosespread.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class WindowedRateTest {
    private static final long SECOND = 1_000_000_000L;
    private final WindowedRate rate = new WindowedRate();

    @Test
    void rateIsPerCoveredTimeNotPerElapsedTime() {
        rate.add(0, 10, 0.5, SECOND);
        rate.add(10 * SECOND, 10, 0.5, SECOND);
        assertEquals(20, rate.perSecond(10 * SECOND), 1e-9);
    }

    @Test
    void missingCountsDoNotChangeRate() {
        rate.add(0, 30, 1, SECOND);
        assertEquals(30, rate.perSecond(2 * SECOND), 1e-9);
    }

    @Test
    void rateIsUnknownBeforeFirstCountAndLongAfterLast() {
        assertFalse(rate.known(0));
        assertEquals(0, rate.perSecond(0));
        rate.add(0, 30, 1, SECOND);
        assertTrue(rate.known(2 * SECOND));
        assertFalse(rate.known(4 * SECOND));
        assertEquals(0, rate.perSecond(4 * SECOND));
    }

    @Test
    void shorterWindowGivesNewerCountsMoreWeight() {
        WindowedRate longWindowRate = new WindowedRate();
        for (int time = 0; time < 10; time++) {
            int count = time < 9 ? 10 : 100;
            rate.add(time * SECOND, count, 1, SECOND);
            longWindowRate.add(time * SECOND, count, 1, 10 * SECOND);
        }
        assertTrue(rate.perSecond(9 * SECOND) > 2 * longWindowRate.perSecond(9 * SECOND));
    }

    @Test
    void countDecaysWithWindow() {
        rate.add(0, 12, 1, SECOND);
        assertEquals(12 / Math.E, rate.counted(SECOND), 1e-9);
    }
}
