package rosespread.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import rosespread.api.NodeId;

/** Drains that reach two controllers in different orders and repeatedly. */
class DrainRegistryTest {
    @Property(seed = "1")
    void drainsAppliedInAnyOrderAndRepeatedlyLeadToSameState(@ForAll long seed) {
        Random random = new Random(seed);
        List<Drain> drains = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            int node = random.nextInt(4);
            drains.add(
                    new Drain(
                            new NodeId(node),
                            "n" + node,
                            random.nextBoolean(),
                            random.nextInt(8),
                            "o" + random.nextInt(2),
                            "c" + i,
                            i));
        }
        DrainRegistry inOrder = new DrainRegistry();
        drains.forEach(inOrder::apply);
        List<Drain> shuffled = new ArrayList<>(drains);
        shuffled.addAll(drains.subList(0, random.nextInt(drains.size())));
        Collections.shuffle(shuffled, random);
        DrainRegistry outOfOrder = new DrainRegistry();
        shuffled.forEach(outOfOrder::apply);
        assertEquals(List.copyOf(inOrder.allLatest()), List.copyOf(outOfOrder.allLatest()));
        assertEquals(inOrder.revision(), outOfOrder.revision());
        drains.forEach(
                drain ->
                        assertEquals(
                                drain, outOfOrder.findByRequestId(drain.call()).orElseThrow()));
        inOrder.changesSince(3).forEach(drain -> assertTrue(drain.stamp() > 3));
    }
}
