package rosespread.validation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;

class TableChangeValidatorTest {
    private static final double ANY = Double.POSITIVE_INFINITY;
    private final TableChangeValidator gate = new TableChangeValidator();

    /**
     * "1=0.5 2=1" are lines; "1 2c 3d 4g" are nodes: ready, cold at 0.2, draining, gone; x: not
     * open.
     */
    private static Map<NodeId, Double> lines(String text) {
        Map<NodeId, Double> lines = new TreeMap<>();
        for (String line : text == null ? new String[0] : text.split(" ")) {
            lines.put(
                    new NodeId(Long.parseLong(line.split("=")[0])),
                    Double.parseDouble(line.split("=")[1]));
        }
        return lines;
    }

    private static TableChangeValidator.ValidationContext scene(
            String nodes, boolean cause, double carried) {
        Map<NodeId, TableChangeValidator.NodeFact> facts = new TreeMap<>();
        for (String node : nodes == null ? new String[0] : nodes.split(" ")) {
            facts.put(
                    new NodeId(Long.parseLong(node.replaceAll("[a-z]", ""))),
                    new TableChangeValidator.NodeFact(
                            node.contains("d")
                                    ? NodeState.DRAINING
                                    : node.contains("g") ? NodeState.GONE : NodeState.READY,
                            node.contains("c") ? 0.2 : 1,
                            !node.contains("x")));
        }
        return new TableChangeValidator.ValidationContext(facts, 1, cause, carried);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                // what is out | wanted | nodes | cause seen | lines carried | refused for | what
                // goes out
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
    void judges(
            String out,
            String wanted,
            String nodes,
            boolean cause,
            double carried,
            String reasons,
            String goesOut) {
        TableChangeValidator.ValidationResult verdict =
                gate.validate(lines(out), lines(wanted), scene(nodes, cause, carried));
        assertEquals(
                reasons == null ? List.of() : List.of(reasons.split(" ")),
                verdict.refusals().stream().map(r -> r.reason().name()).toList());
        assertEquals(lines(goesOut), verdict.lines());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                "1=1 2=1 3=1 9=1|1 2d 3g|1=1",
                "2=1 3=1|1 2d 3g 4c|1=1 4=0.2",
                "1=1 2=5|1 2c|1=1 2=0.2",
                "1=1 2=0.5|1 2c|1=1 2=0.2",
                "1=1 2=0.1|1 2c|1=1 2=0.1",
                "2=5|2c|2=5",
                "1=1|1d|-"
            })
    void keepsWhatMayStay(String lines, String nodes, String left) {
        assertEquals(lines(left), gate.retainableEntries(lines(lines), scene(nodes, true, ANY)));
    }

    /**
     * Whatever is wanted, nothing goes out to a node that leaves, and no table is left empty while
     * a node is able.
     */
    @Property(seed = "1")
    void nothingGoesOutThatMayNot(
            @ForAll @Size(6) List<@DoubleRange(min = -1, max = 9) Double> out,
            @ForAll @Size(6) List<@DoubleRange(min = -1, max = 9) Double> wanted,
            @ForAll boolean cause) {
        TableChangeValidator.ValidationContext scene = scene("0 1c 2d 3g 4x", cause, ANY);
        Map<NodeId, Double> before = new TreeMap<>();
        Map<NodeId, Double> after = new TreeMap<>();
        for (int i = 0; i < 6; i++) {
            before.put(new NodeId(i), Math.abs(out.get(i)) + 0.001);
            after.put(new NodeId(i), wanted.get(i));
        }
        for (Map<NodeId, Double> gone :
                List.of(
                        gate.validate(before, after, scene).lines(),
                        gate.retainableEntries(before, scene),
                        gate.stepTowards(before, gate.retainableEntries(before, scene), scene))) {
            assertTrue(!gone.isEmpty());
            gone.forEach(
                    (node, weight) -> assertTrue(weight > 0 && node.value() <= 1, gone.toString()));
        }
    }

    /** Any sequence of changes: judged by what changed as if the whole table were looked at. */
    @Property(seed = "1")
    void judgesAChangeAsItJudgesTheWhole(@ForAll long seed) {
        Random random = new Random(seed);
        TableChangeValidator.AcceptedTotals standing = new TableChangeValidator.AcceptedTotals();
        Map<NodeId, Double> out = new TreeMap<>();
        String nodes = "0 1 2 3 4c 5c";
        for (int step = 0; step < 60; step++) {
            if (random.nextInt(15) == 0) {
                nodes = random.nextBoolean() ? "0 1 2 3d 4 5c 6" : "0 1 2 3 4c 5c";
                out.keySet().retainAll(gate.retainableEntries(out, scene(nodes, true, ANY)).keySet());
                standing.forget();
            }
            TableChangeValidator.ValidationContext scene =
                    scene(nodes, random.nextInt(3) > 0, random.nextInt(4) == 0 ? 1 : ANY);
            Map<NodeId, Double> changed = new TreeMap<>();
            for (int i = random.nextInt(3); i >= 0; i--) {
                double weight =
                        switch (random.nextInt(8)) {
                            case 0 -> 0;
                            case 1 -> random.nextBoolean() ? Double.NaN : -1;
                            case 2 -> 20 * random.nextDouble();
                            default -> 0.2 + random.nextDouble();
                        };
                changed.put(new NodeId(random.nextInt(10) == 0 ? 9 : random.nextInt(7)), weight);
            }
            Map<NodeId, Double> wanted = new TreeMap<>(out);
            changed.forEach(
                    (node, weight) -> {
                        if (weight == 0) {
                            wanted.remove(node);
                        } else {
                            wanted.put(node, weight);
                        }
                    });
            TableChangeValidator.ValidationResult whole = gate.validate(out, wanted, scene);
            assertEquals(
                    whole, gate.validate(standing, out, wanted, changed, scene), "step " + step);
            out = whole.refusals().isEmpty() ? wanted : out;
        }
    }

    @Test
    void releasesInStepsThatMoveAPartEach() {
        TableChangeValidator.ValidationContext scene = scene("1 2 3 4", false, ANY);
        Map<NodeId, Double> out = lines("1=1 2=1");
        Map<NodeId, Double> wanted = lines("3=1 4=1");
        int steps = 0;
        while (!out.equals(wanted)) {
            Map<NodeId, Double> next = gate.stepTowards(out, wanted, scene);
            assertTrue(TableChangeValidator.movedShare(out, next) < 0.16, next.toString());
            out = next;
            assertTrue(++steps < 12, out.toString());
        }
        assertTrue(steps >= 6);
    }

    @ParameterizedTest
    @CsvSource({"500,3,10,0", "500,6,10,500", "500,5,10,0", "0,0,0,0"})
    void countsLinesOnTheirWayIfMostOweAnAnswer(long lines, long late, long proxies, long counted) {
        assertEquals(counted, ChannelCapacity.overdue(lines, late, proxies));
        assertTrue(
                ChannelCapacity.overdue(801_000_000L, 500_000_000L)
                        && !ChannelCapacity.overdue(799_000_000L, 500_000_000L));
    }

    @ParameterizedTest
    @CsvSource({
        "1000,0,10,11,false,39",
        "1000,300,10,11,false,9",
        "1000,600,10,11,false,0",
        "1000,600,10,11,true,19",
        "1000,0,0,11,false,489"
    })
    void leavesRoomToTheModule(
            double limit, double waiting, int proxies, double head, boolean drain, int lines) {
        assertEquals(lines, ChannelCapacity.availableEntries(limit, waiting, proxies, head, drain));
    }
}
