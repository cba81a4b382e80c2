package rosespread.scenario;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import rosespread.testbed.SiteDefinition;

/**
 * Checks that an RPC that is not idempotent takes effect at most once. Values in effects per RPC.
 * Confined to the loop's thread.
 */
final class SingleEffectInvariant {
    private final InvariantResult result = new InvariantResult("noEffectTwice", 1);
    private final RunTimeline timeline;
    private final Map<Long, Integer> effectsByRpc = new HashMap<>();
    private final Set<Long> reported = new HashSet<>();

    SingleEffectInvariant(RunTimeline timeline) {
        this.timeline = timeline;
    }

    InvariantResult result() {
        return result;
    }

    /** Counts a check, since a retry after a failed attempt may repeat an effect. */
    void attemptFailed(SiteDefinition.Method method) {
        if (method.effect() != SiteDefinition.Effect.IDEMPOTENT) {
            result.countCheck();
        }
    }

    void effectApplied(long nanos, String node, long rpc, SiteDefinition.Method method) {
        if (method.effect() == SiteDefinition.Effect.IDEMPOTENT) {
            return;
        }
        int effects = effectsByRpc.merge(rpc, 1, Integer::sum);
        String call = "rpc " + rpc + " of " + method.name();
        String when = timeline.describe(nanos);
        result.recordValue(effects, call + " at " + node + ", " + when);
        if (effects > 1 && reported.add(rpc)) {
            result.recordViolation(call + " took effect again at " + node + ", " + when);
        }
    }
}
