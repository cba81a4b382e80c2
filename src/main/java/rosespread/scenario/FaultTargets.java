package rosespread.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Draws what a fault strikes; the same seed gives the same targets. On the loop's thread. */
final class FaultTargets {
    private final Random random;

    FaultTargets(long seed) {
        this.random = new Random(seed);
    }

    /** Draws a share of the names, one at least as long as there are any. */
    List<String> draw(List<String> names, double share) {
        List<String> drawn = new ArrayList<>(names);
        Collections.sort(drawn);
        Collections.shuffle(drawn, random);
        int count = Math.max(1, (int) Math.round(share * drawn.size()));
        return drawn.subList(0, Math.min(drawn.size(), count));
    }

    /** Draws one of the names, of which there is one at least. */
    String drawOne(List<String> names) {
        return draw(names, 0).get(0);
    }

    /** Draws a number from 0 on. */
    int drawNumber() {
        return random.nextInt(Integer.MAX_VALUE);
    }
}
