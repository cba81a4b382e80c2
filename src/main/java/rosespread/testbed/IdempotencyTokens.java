package rosespread.testbed;

import java.util.HashMap;
import java.util.Map;

/**
 * The idempotency tokens that the nodes of a zone share: a repeat within the window has no effect.
 * Confined to the loop's thread; times in nanoseconds of the loop's clock.
 */
final class IdempotencyTokens {
    private final Map<String, Long> validUntil = new HashMap<>();

    /** Takes a token for a window; false if it is taken already. */
    boolean claim(String token, long nanos, long windowNanos) {
        Long until = validUntil.get(token);
        if (until != null && until > nanos) {
            return false;
        }
        validUntil.put(token, nanos + windowNanos);
        return true;
    }

    /** Drops tokens whose window is over. */
    void removeExpired(long nanos) {
        validUntil.values().removeIf(until -> until < nanos);
    }
}
