package rosespread.turn;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rosespread.api.Feed;

class RoundsTest {
    private static final long MILLI = 1_000_000L;
    private final Rounds rounds = new Rounds();
    private final List<String> seen = new ArrayList<>();
    private boolean faulty;
    private boolean lost;
    private final Rounds.Player player =
            new Rounds.Player() {
                @Override
                public void round(Feed feed) {
                    seen.add("round");
                    if (faulty) {
                        throw new StackOverflowError("on purpose");
                    }
                }

                @Override
                public void faulted(Throwable fault) {
                    seen.add("faulted");
                    if (lost) {
                        throw new IllegalStateException("can't begin either");
                    }
                    rounds.begin();
                }
            };

    @Test
    void whatComesTogetherIsOneRoundAndTheNextWaitsForTheGap() {
        rounds.add(observer -> {});
        rounds.add(observer -> {});
        assertEquals(Long.MAX_VALUE, rounds.turn(1000 * MILLI, player));
        rounds.add(observer -> {});
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
        rounds.add(observer -> {});
        assertEquals(2000 * MILLI, rounds.turn(1000 * MILLI, player));
        faulty = false;
        rounds.turn(1999 * MILLI, player);
        assertEquals(List.of("round", "faulted"), seen);
        rounds.turn(2000 * MILLI, player);
        assertEquals(List.of("round", "faulted", "round"), seen);
        assertEquals(1, rounds.faults());
    }

    @Test
    void aModuleThatCannotBeginAnewIsBegunAgainLater() {
        faulty = true;
        lost = true;
        rounds.add(observer -> {});
        assertThrows(IllegalStateException.class, () -> rounds.turn(1000 * MILLI, player));
        rounds.turn(1500 * MILLI, player);
        assertEquals(List.of("round", "faulted"), seen);
        faulty = false;
        lost = false;
        rounds.turn(2000 * MILLI, player);
        rounds.turn(3000 * MILLI, player);
        assertEquals(List.of("round", "faulted", "faulted", "round"), seen);
    }
}
