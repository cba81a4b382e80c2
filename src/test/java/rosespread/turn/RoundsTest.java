package rosespread.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rosespread.api.Feed;

class RoundsTest {
    private static final long MILLI = 1_000_000L;
    private final Rounds rounds = new Rounds();
    private final List<String> seen = new ArrayList<>();
    private boolean faulty;
    private final Rounds.Player player = new Rounds.Player() {
        @Override
        public void round(Feed feed) {
            seen.add("round");
            if (faulty) {
                throw new IllegalStateException("on purpose");
            }
        }

        @Override
        public void faulted(RuntimeException fault) {
            seen.add("faulted");
            rounds.begin();
        }
    };

    @Test
    void whatComesTogetherIsOneRoundAndTheNextWaitsForTheGap() {
        rounds.add(observer -> { });
        rounds.add(observer -> { });
        assertEquals(Long.MAX_VALUE, rounds.turn(1000 * MILLI, player));
        rounds.add(observer -> { });
        assertEquals(1010 * MILLI, rounds.turn(1001 * MILLI, player));
        rounds.turn(1010 * MILLI, player);
        assertEquals(List.of("round", "round"), seen);
    }

    @Test
    void theEarliestWakeUpCounts() {
        rounds.wakeAt(1500 * MILLI);
        rounds.wakeAt(1200 * MILLI);
        assertEquals(1200 * MILLI, rounds.turn(1000 * MILLI, player));
        rounds.turn(1200 * MILLI, player);
        assertEquals(List.of("round"), seen);
    }

    @Test
    void aModuleThatThrowsBeginsAnewAfterAPause() {
        faulty = true;
        rounds.add(observer -> { });
        assertEquals(2000 * MILLI, rounds.turn(1000 * MILLI, player));
        faulty = false;
        rounds.turn(1999 * MILLI, player);
        assertEquals(List.of("round", "faulted"), seen);
        rounds.turn(2000 * MILLI, player);
        assertEquals(List.of("round", "faulted", "round"), seen);
        assertEquals(1, rounds.faults());
    }
}
