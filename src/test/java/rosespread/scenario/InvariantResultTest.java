package rosespread.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import rosespread.scenario.InvariantResult.Verdict;

class InvariantResultTest {
    private final InvariantResult result = new InvariantResult("shortQueue", 5);

    @Test
    void verdictIsNotSeenWithoutChecks() {
        result.recordValue(4, "c0");
        assertEquals(Verdict.NOT_SEEN, result.verdict());
    }

    @Test
    void verdictIsKeptWithoutViolations() {
        result.countCheck();
        result.countChecks(2);
        assertEquals(Verdict.KEPT, result.verdict());
        assertEquals(3, result.checked());
    }

    @Test
    void verdictIsBrokenByViolationWithoutChecks() {
        result.recordViolation("too long");
        assertEquals(Verdict.BROKEN, result.verdict());
        assertEquals(List.of("too long"), result.violations());
    }

    @Test
    void storesOnlyFirstTwentyViolations() {
        for (int i = 0; i < 25; i++) {
            result.recordViolation("violation " + i);
        }
        assertEquals(20, result.violations().size());
        assertEquals("violation 19", result.violations().get(19));
    }

    @Test
    void storesPlaceOfFirstWorstValue() {
        result.recordValue(3, "first");
        result.recordValue(7, "second");
        result.recordValue(7, "third");
        assertEquals(7, result.worst());
        assertEquals("second", result.worstAt());
    }
}
