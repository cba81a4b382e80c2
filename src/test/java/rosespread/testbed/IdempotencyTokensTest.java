package rosespread.testbed;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class IdempotencyTokensTest {
    private final IdempotencyTokens tokens = new IdempotencyTokens();

    @Test
    void rejectsClaimedTokenWithinItsWindow() {
        assertTrue(tokens.claim("t1", 100, 50));
        assertFalse(tokens.claim("t1", 149, 50));
        assertTrue(tokens.claim("t1", 150, 50));
    }

    @Test
    void expiryRemovesOnlyTokensPastTheirWindow() {
        tokens.claim("t1", 100, 50);
        tokens.claim("t2", 100, 500);
        tokens.removeExpired(200);
        assertTrue(tokens.claim("t1", 149, 50));
        assertFalse(tokens.claim("t2", 149, 50));
    }
}
