package rosespread.validation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static rosespread.validation.ValidationFixture.UNLIMITED;
import static rosespread.validation.ValidationFixture.context;
import static rosespread.validation.ValidationFixture.entries;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.NodeId;
import rosespread.validation.TableChangeValidator.ValidationContext;
import rosespread.validation.TableChangeValidator.ValidationResult;

/** Changes of a table that are refused, and the entries that are rolled out instead. */
class TableChangeValidatorTest {
    private final TableChangeValidator validator = new TableChangeValidator();

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                // current | desired | nodes | large move expected | deliverable entries | reasons |
                // rolled-out entries
                "1=1 2=1|1=1 2=0.5|1 2|false|9|-|1=1 2=0.5",
                "1=1 2=1|1=NaN 2=1|1 2|true|9|BAD_WEIGHT|1=1 2=1",
                "1=1 2=1|1=Infinity 2=1|1 2|true|9|BAD_WEIGHT|1=1 2=1",
                "1=1 2=1|1=-1 2=1|1 2|true|9|BAD_WEIGHT|1=1 2=1",
                "1=1 2=1|1=1 9=1|1 2|true|9|UNKNOWN_NODE|1=1 2=1",
                "1=1 2=1|1=1 2=1 3=1|1 2 3d|true|9|LEAVING_NODE|1=1 2=1",
                "1=1 2=1 3=1|1=1 2=1 3=1|1 2 3g|true|9|LEAVING_NODE|1=1 2=1",
                "1=1 2=1|-|1 2|true|9|NO_NODE|1=1 2=1",
                "1=1|3=1|1 2 3x|true|9|NO_NODE|1=1",
                "3=1|3=1|1 2c 3g|true|9|LEAVING_NODE NO_NODE|1=1 2=0.2",
                "1=1 2=1|1=1 2=1 3=1|1 2 3c|true|9|COLD_TOO_HIGH|1=1 2=1",
                "1=1 2=1|1=1 2=1 3=0.3|1 2 3c|true|9|-|1=1 2=1 3=0.3",
                "3=1|3=1 4=1|3c 4c|true|9|-|3=1 4=1",
                "1=1 2=1|1=1 2=0.001 3=9|1 2 3|false|9|MOVES_TOO_MUCH|1=1 2=1",
                "1=1 2=1|1=1 2=0.001 3=9|1 2 3|true|9|-|1=1 2=0.001 3=9",
                "1=1 2=1 4=1 5=1|3=1|1g 2g 3 4g 5|false|9|-|3=1",
                "1=1 2=1|1=0.9 2=0.9|1 2|false|1|TOO_MANY_LINES|1=1 2=1",
                "-|1=1 2=1|1 2|false|1|-|1=1 2=1"
            })
    void changeThatBreaksRuleIsReplacedByRetainableEntries(
            String current,
            String desired,
            String nodes,
            boolean largeMoveExpected,
            double deliverableEntries,
            String reasons,
            String rolledOut) {
        ValidationResult result =
                validator.validate(
                        entries(current),
                        entries(desired),
                        context(nodes, largeMoveExpected, deliverableEntries));
        assertEquals(
                reasons == null ? List.of() : List.of(reasons.split(" ")),
                result.refusals().stream().map(refusal -> refusal.reason().name()).toList());
        assertEquals(entries(rolledOut), result.entries());
    }

    @Property(seed = "1")
    void resultHasOnlyEligibleNodesWithPositiveWeights(
            @ForAll @Size(6) List<@DoubleRange(min = -1, max = 9) Double> currentWeights,
            @ForAll @Size(6) List<@DoubleRange(min = -1, max = 9) Double> desiredWeights,
            @ForAll boolean largeMoveExpected) {
        ValidationContext context = context("0 1c 2d 3g 4x", largeMoveExpected, UNLIMITED);
        Map<NodeId, Double> current = new TreeMap<>();
        Map<NodeId, Double> desired = new TreeMap<>();
        for (int i = 0; i < 6; i++) {
            current.put(new NodeId(i), Math.abs(currentWeights.get(i)) + 0.001);
            desired.put(new NodeId(i), desiredWeights.get(i));
        }
        Map<NodeId, Double> retained = validator.retainableEntries(current, context);
        assertOnlyEligible(validator.validate(current, desired, context).entries());
        assertOnlyEligible(retained);
        assertOnlyEligible(validator.stepTowards(current, retained, context));
    }

    private static void assertOnlyEligible(Map<NodeId, Double> entries) {
        assertFalse(entries.isEmpty());
        entries.forEach(
                (node, weight) -> assertTrue(weight > 0 && node.value() <= 1, entries::toString));
    }

    @Property(seed = "1")
    void validationOfDeltaEqualsValidationOfWholeTable(@ForAll long seed) {
        Random random = new Random(seed);
        AcceptedTotals totals = new AcceptedTotals();
        Map<NodeId, Double> current = new TreeMap<>();
        String nodes = "0 1 2 3 4c 5c";
        for (int step = 0; step < 60; step++) {
            if (random.nextInt(15) == 0) {
                nodes = random.nextBoolean() ? "0 1 2 3d 4 5c 6" : "0 1 2 3 4c 5c";
                ValidationContext changed = context(nodes, true, UNLIMITED);
                current.keySet().retainAll(validator.retainableEntries(current, changed).keySet());
                totals.invalidate();
            }
            ValidationContext context =
                    context(nodes, random.nextInt(3) > 0, random.nextInt(4) == 0 ? 1 : UNLIMITED);
            Map<NodeId, Double> changes = randomChanges(random);
            Map<NodeId, Double> desired = changed(current, changes);
            ValidationResult wholeTableResult = validator.validate(current, desired, context);
            assertEquals(
                    wholeTableResult,
                    validator.validate(totals, current, desired, changes, context),
                    "step " + step);
            current = wholeTableResult.refusals().isEmpty() ? desired : current;
        }
    }

    private static Map<NodeId, Double> randomChanges(Random random) {
        Map<NodeId, Double> changes = new TreeMap<>();
        for (int i = random.nextInt(3); i >= 0; i--) {
            double weight =
                    switch (random.nextInt(8)) {
                        case 0 -> 0;
                        case 1 -> random.nextBoolean() ? Double.NaN : -1;
                        case 2 -> 20 * random.nextDouble();
                        default -> 0.2 + random.nextDouble();
                    };
            int node = random.nextInt(10) == 0 ? 9 : random.nextInt(7);
            changes.put(new NodeId(node), weight);
        }
        return changes;
    }

    private static Map<NodeId, Double> changed(
            Map<NodeId, Double> entries, Map<NodeId, Double> changes) {
        Map<NodeId, Double> changed = new TreeMap<>(entries);
        changed.putAll(changes);
        changed.values().removeIf(weight -> weight == 0);
        return changed;
    }
}
