package rosespread.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventLoopTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private final EventQueue queue = new EventQueue();
    private final AtomicInteger rounds = new AtomicInteger();
    private final AtomicInteger unexpectedExits = new AtomicInteger();

    /** Advances by half a second at each reading. */
    private final AtomicLong clock = new AtomicLong();

    private EventLoop loop;

    private EventLoop newLoop(LongUnaryOperator round) {
        return new EventLoop(
                queue,
                round,
                unexpectedExits::incrementAndGet,
                () -> clock.addAndGet(SECOND_NANOS / 2));
    }

    @Test
    @Timeout(20)
    void continuesAfterErrorInEventOrRound() {
        loop =
                newLoop(
                        now -> {
                            if (rounds.incrementAndGet() == 1) {
                                throw new OutOfMemoryError("injected failure");
                            }
                            if (rounds.get() == 3) {
                                loop.stop();
                            }
                            return now;
                        });
        queue.put(
                now -> {
                    throw new NoClassDefFoundError("injected failure");
                });
        loop.run();
        assertEquals(3, rounds.get());
        assertEquals(0, unexpectedExits.get());
    }

    @Test
    @Timeout(20)
    void endsAndReportsUnexpectedExitIfAllRoundsFail() {
        loop =
                newLoop(
                        now -> {
                            if (rounds.incrementAndGet() == 1000) {
                                loop.stop();
                            }
                            throw new IllegalStateException("injected failure");
                        });
        loop.run();
        assertTrue(rounds.get() > 10 && rounds.get() < 1000, rounds + " rounds");
        assertEquals(1, unexpectedExits.get());
    }
}
