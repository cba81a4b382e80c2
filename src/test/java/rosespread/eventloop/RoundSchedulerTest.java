package rosespread.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import rosespread.api.EventSource;

class RoundSchedulerTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private final RoundScheduler scheduler = new RoundScheduler();
    private final RecordingHandler handler = new RecordingHandler();

    /** Records its calls, and throws from those that the test makes fail. */
    private final class RecordingHandler implements RoundScheduler.RoundHandler {
        private final List<String> calls = new ArrayList<>();
        private boolean roundFails;
        private boolean restartFails;

        @Override
        public void runRound(EventSource events) {
            calls.add("round");
            if (roundFails) {
                throw new StackOverflowError("injected failure");
            }
        }

        @Override
        public void roundFailed(Throwable failure) {
            calls.add("failed");
            if (restartFails) {
                throw new IllegalStateException("injected restart failure");
            }
            scheduler.restart();
        }
    }

    private long runAtMillis(long millis) {
        return scheduler.runDue(millis * MILLI_NANOS, handler);
    }

    @Test
    void runsOneRoundForSimultaneousEventsAndKeepsMinimumInterval() {
        scheduler.add(event -> {});
        scheduler.add(event -> {});
        assertEquals(Long.MAX_VALUE, runAtMillis(1000));
        scheduler.add(event -> {});
        assertEquals(1010 * MILLI_NANOS, runAtMillis(1001));
        runAtMillis(1010);
        assertEquals(List.of("round", "round"), handler.calls);
    }

    @Test
    void usesEarliestScheduledTime() {
        scheduler.scheduleAt(1500 * MILLI_NANOS);
        scheduler.scheduleAt(1200 * MILLI_NANOS);
        assertEquals(1200 * MILLI_NANOS, runAtMillis(1000));
        runAtMillis(1200);
        assertEquals(List.of("round"), handler.calls);
    }

    @Test
    void runsNextRoundAfterBackoffIfRoundFailed() {
        handler.roundFails = true;
        scheduler.add(event -> {});
        assertEquals(2000 * MILLI_NANOS, runAtMillis(1000));
        handler.roundFails = false;
        runAtMillis(1999);
        assertEquals(List.of("round", "failed"), handler.calls);
        runAtMillis(2000);
        assertEquals(List.of("round", "failed", "round"), handler.calls);
        assertEquals(1, scheduler.failures());
    }

    @Test
    void retriesFailedRestartAfterBackoff() {
        handler.roundFails = true;
        handler.restartFails = true;
        scheduler.add(event -> {});
        assertThrows(IllegalStateException.class, () -> runAtMillis(1000));
        runAtMillis(1500);
        assertEquals(List.of("round", "failed"), handler.calls);
        handler.roundFails = false;
        handler.restartFails = false;
        runAtMillis(2000);
        runAtMillis(3000);
        assertEquals(List.of("round", "failed", "failed", "round"), handler.calls);
    }
}
