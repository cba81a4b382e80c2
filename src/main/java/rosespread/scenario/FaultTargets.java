package rosespread.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Draws the targets of faults; the same seed gives the same targets. Confined to the loop's thread.
 */
final class FaultTargets {
    private final Random random;

    FaultTargets(long seed) {
        this.random = new Random(seed);
    }

    /** Draws a share of the names, at least one unless there are none. */
    List<String> draw(List<String> names, double share) {
        List<String> drawn = new ArrayList<>(names);
        Collections.sort(drawn);
        Collections.shuffle(drawn, random);
        int count = Math.max(1, (int) Math.round(share * drawn.size()));
        return drawn.subList(0, Math.min(drawn.size(), count));
    }

    /** Draws one of the names, of which there must be at least one. */
    String drawOne(List<String> names) {
        return draw(names, 0).get(0);
    }

    /** Draws a number of at least 0. */
    int drawNumber() {
        return random.nextInt(Integer.MAX_VALUE);
    }
}
