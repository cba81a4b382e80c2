package rosespread.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.NodeId;

class DrainRegistryTest {
    /**
     * WireNames that reach conductors in any order and any number of times leave the same state
     * everywhere.
     */
    @Property(seed = "1")
    void wordsInAnyOrderComeToTheSame(@ForAll long seed) {
        Random random = new Random(seed);
        List<Drain> words = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            int node = random.nextInt(4);
            words.add(
                    new Drain(
                            new NodeId(node),
                            "n" + node,
                            random.nextBoolean(),
                            random.nextInt(8),
                            "o" + random.nextInt(2),
                            "c" + i,
                            i));
        }
        DrainRegistry one = new DrainRegistry();
        words.forEach(one::apply);
        List<Drain> shuffled = new ArrayList<>(words);
        shuffled.addAll(words.subList(0, random.nextInt(words.size())));
        Collections.shuffle(shuffled, random);
        DrainRegistry other = new DrainRegistry();
        shuffled.forEach(other::apply);
        assertEquals(List.copyOf(one.allLatest()), List.copyOf(other.allLatest()));
        assertEquals(one.revision(), other.revision());
        words.forEach(word -> assertEquals(word, other.findByRequestId(word.call()).orElseThrow()));
        one.changesSince(3).forEach(word -> assertTrue(word.stamp() > 3));
    }

    /** "name zone kind size", + for ready, - for not. */
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

    private static Set<String> set(String text) {
        return text.equals("*") ? Set.of() : new TreeSet<>(Set.of(text.split("/")));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
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
    void guards(String nodes, String draining, String kinds, String zones, String reasons) {
        List<String> told =
                new DrainGuard(0.5)
                        .violations(
                                draining,
                                nodes(nodes),
                                List.of(new DrainGuard.Method("m", set(kinds), set(zones))));
        assertEquals(
                reasons == null ? "" : reasons.replace("KEEPS", "method m would keep"),
                String.join("; ", told));
    }
}
