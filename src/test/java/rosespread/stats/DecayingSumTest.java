package rosespread.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DecayingSumTest {
    private static final double TOLERANCE = 1e-12;
    private final DecayingSum sum = new DecayingSum(1_000);

    @Test
    void amountDecaysToOneOverEAfterTimeConstant() {
        sum.add(5_000, 8);
        assertEquals(8, sum.read(5_000), TOLERANCE);
        assertEquals(8 / Math.E, sum.read(6_000), TOLERANCE);
        assertEquals(8 / Math.E / Math.E, sum.read(7_000), TOLERANCE);
    }

    @Test
    void amountsDecayFromTimeOfAddition() {
        sum.add(0, 4);
        sum.add(1_000, 2);
        assertEquals(4 / Math.E / Math.E + 2 / Math.E, sum.read(2_000), TOLERANCE);
    }

    @Test
    void readsInBetweenDoNotChangeSum() {
        DecayingSum readOnce = new DecayingSum(1_000);
        readOnce.add(0, 3);
        sum.add(0, 3);
        for (int time = 10; time <= 2_000; time += 10) {
            sum.read(time);
        }
        assertEquals(readOnce.read(2_000), sum.read(2_000), 1e-9);
    }

    @Test
    void earlierTimeDoesNotIncreaseSum() {
        sum.add(2_000, 5);
        assertEquals(5, sum.read(1_000), TOLERANCE);
        sum.add(1_500, 1);
        assertEquals(6, sum.read(2_000), TOLERANCE);
    }
}
