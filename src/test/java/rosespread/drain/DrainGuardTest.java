package rosespread.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Drains that the guard rejects, and the figures in its reasons. */
class DrainGuardTest {
    private static final double MIN_CAPACITY_RATIO = 0.5;

    /** Parses "NAME ZONE MACHINE_TYPE CAPACITY +, ...", with - in place of + if not ready. */
    private static List<DrainGuard.Node> nodes(String text) {
        List<DrainGuard.Node> nodes = new ArrayList<>();
        for (String node : text.split(", ")) {
            String[] fields = node.split(" ");
            nodes.add(
                    new DrainGuard.Node(
                            fields[0],
                            fields[1],
                            fields[2],
                            Double.parseDouble(fields[3]),
                            fields[4].equals("+")));
        }
        return nodes;
    }

    /** Parses names separated by /; * stands for all. */
    private static Set<String> names(String text) {
        return text.equals("*") ? Set.of() : new TreeSet<>(Set.of(text.split("/")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                // nodes | node to drain | machine types | zones | violations
                "a n k 1 +, b n k 1 +, c n k 1 +|a|*|*|-",
                "a n k 1 +, b n k 1 +|a|*|*|-",
                "a n k 1 +, b n k 1 -, c n k 1 +|a|*|*|KEEPS 1.00 of 3.00 capacity (33%); at least 50% must remain",
                "a n k 3 +, b n k 1 +, c n k 1 +|a|*|*|KEEPS 2.00 of 5.00 capacity (40%); at least 50% must remain",
                "a n k 1 +, b s k 1 +, c s k 1 +|a|*|*|method m would lose its last ready node in zone n",
                "a n k 1 +, b s k 1 +, c s k 1 +|a|other|*|-",
                "a n k 1 +, b n x 1 +, c n x 1 +|a|k|*|KEEPS 0.00 of 1.00 capacity (0%); at least 50% must remain; "
                        + "method m would lose its last ready node in zone n",
                "a n k 1 -, b n k 1 -, c n k 1 +|a|*|*|-",
                "a n k 1 +, b s k 1 +|a|*|s|-"
            })
    void rejectsDrainThatLeavesMethodTooLittleCapacityOrNoReadyNodeInZone(
            String nodes, String draining, String machineTypes, String zones, String violations) {
        DrainGuard.Method method = new DrainGuard.Method("m", names(machineTypes), names(zones));
        List<String> found =
                new DrainGuard(MIN_CAPACITY_RATIO)
                        .violations(draining, nodes(nodes), List.of(method));
        assertEquals(
                violations == null ? "" : violations.replace("KEEPS", "method m would keep"),
                String.join("; ", found));
    }
}
