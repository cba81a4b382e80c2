package rosespread.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which drains the guard refuses, and with which figures. */
class DrainGuardTest {
    private static final double LEAST_SHARE = 0.5;

    /** "NAME ZONE KIND SIZE +, ..." with + for a ready node and - for one that is not. */
    private static List<DrainGuard.Node> nodes(String text) {
        List<DrainGuard.Node> nodes = new ArrayList<>();
        for (String node : text.split(", ")) {
            String[] part = node.split(" ");
            nodes.add(
                    new DrainGuard.Node(
                            part[0],
                            part[1],
                            part[2],
                            Double.parseDouble(part[3]),
                            part[4].equals("+")));
        }
        return nodes;
    }

    /** Names with / between them, * for all. */
    private static Set<String> set(String text) {
        return text.equals("*") ? Set.of() : new TreeSet<>(Set.of(text.split("/")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                // nodes | draining | kinds | zones | violations
                "a n k 1 +, b n k 1 +, c n k 1 +|a|*|*|-",
                "a n k 1 +, b n k 1 +|a|*|*|-",
                "a n k 1 +, b n k 1 -, c n k 1 +|a|*|*|KEEPS 1.00 of 3.00, that is 33% where 50% must stay",
                "a n k 3 +, b n k 1 +, c n k 1 +|a|*|*|KEEPS 2.00 of 5.00, that is 40% where 50% must stay",
                "a n k 1 +, b s k 1 +, c s k 1 +|a|*|*|method m would lose its last node of zone n",
                "a n k 1 +, b s k 1 +, c s k 1 +|a|other|*|-",
                "a n k 1 +, b n x 1 +, c n x 1 +|a|k|*|KEEPS 0.00 of 1.00, that is 0% where 50% must stay; "
                        + "method m would lose its last node of zone n",
                "a n k 1 -, b n k 1 -, c n k 1 +|a|*|*|-",
                "a n k 1 +, b s k 1 +|a|*|s|-"
            })
    void aDrainMustLeaveEachMethodEnoughCapacityAndANodeInEachZone(
            String nodes, String draining, String kinds, String zones, String violations) {
        DrainGuard.Method method = new DrainGuard.Method("m", set(kinds), set(zones));
        List<String> found =
                new DrainGuard(LEAST_SHARE).violations(draining, nodes(nodes), List.of(method));
        assertEquals(
                violations == null ? "" : violations.replace("KEEPS", "method m would keep"),
                String.join("; ", found));
    }
}
