package rosespread.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * The acknowledgements that one session still owes, by the token that went out with the update, the
 * oldest first. Bounded: the oldest is forgotten for a new one. Owned by the event-loop thread.
 */
final class PendingAcknowledgements {
    private static final int MAX_PENDING = 1024;

    /**
     * The policy's token that a token of the stream stands for, and when the update was written.
     */
    private record Pending(int policyToken, long sentNanos) {}

    private final Map<Integer, Pending> byToken = new LinkedHashMap<>();

    void add(int token, int policyToken, long now) {
        if (byToken.size() >= MAX_PENDING) {
            byToken.remove(byToken.keySet().iterator().next());
        }
        byToken.put(token, new Pending(policyToken, now));
    }

    /** Settles a token; empty if it is not pending here. */
    OptionalInt settle(int token) {
        Pending settled = byToken.remove(token);
        return settled == null ? OptionalInt.empty() : OptionalInt.of(settled.policyToken());
    }

    void clear() {
        byToken.clear();
    }

    int size() {
        return byToken.size();
    }

    /** The longest time that one has been pending, in nanoseconds; 0 if none is. */
    long maxAgeNanos(long now) {
        return byToken.values().stream()
                .mapToLong(pending -> now - pending.sentNanos())
                .max()
                .orElse(0);
    }
}
