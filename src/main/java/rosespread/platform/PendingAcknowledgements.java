package rosespread.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * The outstanding acknowledgements of one session, by the token sent with the update, the oldest
 * first. Limited in number: at the limit, a new acknowledgement replaces the oldest. Owned by the
 * event-loop thread.
 */
final class PendingAcknowledgements {
    private static final int MAX_PENDING = 1024;

    /** The policy's token for a token of the stream, and when the update was written. */
    private record Pending(int policyToken, long sentNanos) {}

    private final Map<Integer, Pending> byToken = new LinkedHashMap<>();

    void add(int token, int policyToken, long now) {
        if (byToken.size() >= MAX_PENDING) {
            byToken.remove(byToken.keySet().iterator().next());
        }
        byToken.put(token, new Pending(policyToken, now));
    }

    /** Removes a token and returns the policy's token for it; empty if it is not pending. */
    OptionalInt complete(int token) {
        Pending completed = byToken.remove(token);
        return completed == null ? OptionalInt.empty() : OptionalInt.of(completed.policyToken());
    }

    void clear() {
        byToken.clear();
    }

    int size() {
        return byToken.size();
    }

    /** The age of the oldest pending acknowledgement in nanoseconds; 0 if none is pending. */
    long maxAgeNanos(long now) {
        return byToken.values().stream()
                .mapToLong(pending -> now - pending.sentNanos())
                .max()
                .orElse(0);
    }
}
