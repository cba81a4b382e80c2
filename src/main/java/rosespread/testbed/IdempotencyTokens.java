package rosespread.testbed;

import java.util.HashMap;
import java.util.Map;

/**
 * Idempotency tokens shared by the nodes of a zone: a repeated RPC within its token's window has no
 * effect. Confined to the loop's thread; times in nanoseconds of the loop's clock.
 */
final class IdempotencyTokens {
    private final Map<String, Long> claimedUntilNanos = new HashMap<>();

    /** Claims a token for a window; returns false if the token is already claimed. */
    boolean claim(String token, long nanos, long windowNanos) {
        Long until = claimedUntilNanos.get(token);
        if (until != null && until > nanos) {
            return false;
        }
        claimedUntilNanos.put(token, nanos + windowNanos);
        return true;
    }

    /** Removes tokens whose window has ended. */
    void removeExpired(long nanos) {
        claimedUntilNanos.values().removeIf(until -> until < nanos);
    }
}
