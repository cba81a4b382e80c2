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

    /** Each reading of the clock is half a second later. */
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
    void errorInAnEventOrARoundDoesNotEndTheLoop() {
        loop =
                newLoop(
                        now -> {
                            if (rounds.incrementAndGet() == 1) {
                                throw new OutOfMemoryError("on purpose");
                            }
                            if (rounds.get() == 3) {
                                loop.stop();
                            }
                            return now;
                        });
        queue.put(
                now -> {
                    throw new NoClassDefFoundError("on purpose");
                });
        loop.run();
        assertEquals(3, rounds.get());
        assertEquals(0, unexpectedExits.get());
    }

    @Test
    @Timeout(20)
    void roundsThatOnlyFailEndTheLoopAndReportItsExit() {
        loop =
                newLoop(
                        now -> {
                            if (rounds.incrementAndGet() == 1000) {
                                loop.stop();
                            }
                            throw new IllegalStateException("on purpose");
                        });
        loop.run();
        assertTrue(rounds.get() > 10 && rounds.get() < 1000, rounds + " rounds");
        assertEquals(1, unexpectedExits.get());
    }
}
