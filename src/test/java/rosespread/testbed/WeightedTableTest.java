package rosespread.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import rosespread.api.NodeId;
import rosespread.table.TableDigest;

class WeightedTableTest {
    private static final NodeId LIGHT = new NodeId(1);
    private static final NodeId HEAVY = new NodeId(2);
    private static final List<NodeId> BOTH = List.of(LIGHT, HEAVY);

    private final WeightedTable table = new WeightedTable(new SplittableRandom(1));

    WeightedTableTest() {
        table.put(LIGHT, 1);
        table.put(HEAVY, 3);
    }

    @Test
    void picksRoundRobinInProportionToWeights() {
        long heavy =
                IntStream.range(0, 400)
                        .mapToObj(i -> table.pickRoundRobin(BOTH))
                        .filter(HEAVY::equals)
                        .count();
        assertTrue(heavy >= 299 && heavy <= 301, heavy + " of 400");
    }

    @Test
    void picksRandomlyInProportionToWeights() {
        long heavy =
                IntStream.range(0, 4000)
                        .mapToObj(i -> table.pickRandom(BOTH))
                        .filter(HEAVY::equals)
                        .count();
        assertTrue(heavy > 2850 && heavy < 3150, heavy + " of 4000");
    }

    @Test
    void picksOnlyCandidates() {
        assertEquals(LIGHT, table.pickRoundRobin(List.of(LIGHT)));
        assertEquals(LIGHT, table.pickRandom(List.of(LIGHT)));
    }

    @Test
    void digestIsSumOverEntries() {
        assertEquals(TableDigest.of(LIGHT, 1) + TableDigest.of(HEAVY, 3), table.digest());
        table.remove(LIGHT);
        assertEquals(TableDigest.of(HEAVY, 3), table.digest());
        assertEquals(Set.of(HEAVY), table.nodes());
    }
}
