package rosespread.testbed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import rosespread.api.MethodId;
import rosespread.channel.Frame;

/**
 * Applies admission limits as a simple proxy does: either as the ratio of RPCs to admit, or as RPCs
 * per second with a token bucket for each method. Confined to the loop's thread.
 */
final class AdmissionLimiter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final boolean limitsAreShares;
    private final List<MethodId> methods;
    private final RandomGenerator random;
    private final Map<MethodId, Double> tokens = new HashMap<>();
    private long refilledNanos;

    AdmissionLimiter(boolean limitsAreShares, List<MethodId> methods, RandomGenerator random) {
        this.limitsAreShares = limitsAreShares;
        this.methods = methods;
        this.random = random;
    }

    /** Returns whether an RPC is admitted; with limits as rates, an admitted RPC takes a token. */
    boolean admits(MethodId method, ProxyTables tables, long nanos) {
        double limit = limit(method, tables);
        if (Double.isInfinite(limit)) {
            return true;
        }
        if (limitsAreShares) {
            return random.nextDouble() < limit;
        }
        refill(tables, nanos);
        if (tokens.getOrDefault(method, 0.0) < 1) {
            return false;
        }
        tokens.merge(method, -1.0, Double::sum);
        return true;
    }

    private void refill(ProxyTables tables, long nanos) {
        double seconds = (nanos - refilledNanos) / NANOS_PER_SECOND;
        refilledNanos = nanos;
        for (MethodId method : methods) {
            double limit = limit(method, tables);
            double perSecond = Double.isInfinite(limit) ? 0 : limit;
            tokens.merge(
                    method,
                    seconds * perSecond,
                    (available, added) -> Math.min(Math.max(1, perSecond), available + added));
        }
    }

    /** Returns the admission limit of a method; infinite if the tables have none. */
    private static double limit(MethodId method, ProxyTables tables) {
        Optional<Frame.Level> limit = tables.admissionLimit(method);
        return limit.isPresent() ? limit.get().admitted() : Double.POSITIVE_INFINITY;
    }
}
