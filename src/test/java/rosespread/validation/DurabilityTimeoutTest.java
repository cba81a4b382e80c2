package rosespread.validation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The time that messages wait for the disk. */
class DurabilityTimeoutTest {
    private static final long DRAIN_TIMEOUT_NANOS = 2_000_000_000L;
    private static final long TIMEOUT_NANOS = 200_000_000L;

    private final DurabilityTimeout timeout = new DurabilityTimeout(DRAIN_TIMEOUT_NANOS);

    @Test
    void messageWaitsUntilAnnouncedSequenceIsDurable() {
        assertFalse(timeout.maySend(7, 6, false, TIMEOUT_NANOS - 1));
        assertTrue(timeout.maySend(7, 7, false, TIMEOUT_NANOS - 1));
        assertFalse(timeout.isDiskLate());
        assertEquals(0, timeout.sentBeforeDurable());
    }

    @Test
    void messagesDoNotWaitAfterTimeoutUntilDiskHasCaughtUp() {
        assertTrue(timeout.maySend(7, 6, false, TIMEOUT_NANOS));
        assertTrue(timeout.maySend(8, 6, false, 0));
        assertTrue(timeout.isDiskLate());
        assertEquals(2, timeout.sentBeforeDurable());
        assertTrue(timeout.maySend(8, 8, false, 0));
        assertFalse(timeout.isDiskLate());
        assertFalse(timeout.maySend(9, 8, false, 0));
    }

    @Test
    void messageDoesNotWaitIfLogCannotBeWritten() {
        assertTrue(timeout.maySend(7, 6, true, 0));
        assertFalse(timeout.isDiskLate());
        assertEquals(1, timeout.sentBeforeDurable());
    }
}
