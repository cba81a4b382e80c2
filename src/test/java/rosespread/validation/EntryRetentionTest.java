package rosespread.validation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.validation.ValidationFixture.UNLIMITED;
import static rosespread.validation.ValidationFixture.context;
import static rosespread.validation.ValidationFixture.entries;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.ValidationContext;

/** The entries that a table may retain, and the steps from a pinned table to the desired one. */
class EntryRetentionTest {
    private static final double STEP_SHARE_WITH_TOLERANCE = 0.16;

    private final TableChangeValidator validator = new TableChangeValidator();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                // entries | nodes | retained
                "1=1 2=1 3=1 9=1|1 2d 3g|1=1",
                "2=1 3=1|1 2d 3g 4c|1=1 4=0.2",
                "1=1 2=5|1 2c|1=1 2=0.2",
                "1=1 2=0.5|1 2c|1=1 2=0.2",
                "1=1 2=0.1|1 2c|1=1 2=0.1",
                "2=5|2c|2=5",
                "1=1|1d|-"
            })
    void retainsEntriesOfEligibleNodesAndLimitsWeightsOfColdNodes(
            String entries, String nodes, String retained) {
        assertEquals(
                entries(retained),
                validator.retainableEntries(entries(entries), context(nodes, true, UNLIMITED)));
    }

    @Test
    void releaseReachesDesiredTableInStepsOfLimitedSize() {
        ValidationContext context = context("1 2 3 4", false, UNLIMITED);
        Map<NodeId, Double> current = entries("1=1 2=1");
        Map<NodeId, Double> desired = entries("3=1 4=1");
        int steps = 0;
        while (!current.equals(desired)) {
            Map<NodeId, Double> next = validator.stepTowards(current, desired, context);
            assertTrue(
                    WeightShift.movedShare(current, next) < STEP_SHARE_WITH_TOLERANCE,
                    next::toString);
            current = next;
            steps++;
            assertTrue(steps < 12, current::toString);
        }
        assertTrue(steps >= 6);
    }
}
