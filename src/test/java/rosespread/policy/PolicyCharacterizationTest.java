package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.policy.RecordingActions.Count;

/**
 * Checks the decisions of the routing policy to the last digit: the digest of all actions in a
 * seeded history must equal the recorded digest. A refactoring must not change the digests; a
 * change of decisions records new digests and states the change.
 */
class PolicyCharacterizationTest {
    private static final long SEED = 20240;

    @ParameterizedTest(name = "{0} {1}")
    @CsvSource({
        "RATE_LIMITED, MASS_RECONNECT, 4110c7fb0fdf629f",
        "RATE_LIMITED, ROLLING_REPLACEMENT, 30cdb57b1d18c5c8",
        "RATE_LIMITED, OVERLOAD, ed8c66e04bb99a3b",
        "RATE_LIMITED, LOST_REPORTS, f798c5e50038877f",
        "RATE_LIMITED, NODE_FAILURES, 95740d398c7fe79d",
        "RATE_LIMITED, POLICY_RESTART, 8e4091605553ba3",
        "RATE_LIMITED, CHURN, 4e416875afd6878e",
        "RATE_LIMITED, SITE_RETURN, fe50343a0b9dedd1",
        "RATE_LIMITED, UNSTEADY_NODES, 44241479f64929f3",
        "RATE_LIMITED, SLOW_RAMPS, 4dae8fe205276640",
        "ZONED, MASS_RECONNECT, bf216cae6168ff4e",
        "ZONED, ROLLING_REPLACEMENT, da90d9f008ced375",
        "ZONED, OVERLOAD, f07b110e20862a85",
        "ZONED, LOST_REPORTS, f0ec9ac33dd51bb7",
        "ZONED, NODE_FAILURES, 63aa57eadd2a4029",
        "ZONED, POLICY_RESTART, 5c9849f82e1951fa",
        "ZONED, CHURN, e80b4a608dcc699c",
        "ZONED, SITE_RETURN, aab4be94dddb173e",
        "ZONED, UNSTEADY_NODES, b0339531d1fdadc",
        "ZONED, SLOW_RAMPS, 1bfb49ef21c2c279",
        "SLOW_CHANNEL, MASS_RECONNECT, 93bf78ddd5cf104a",
        "SLOW_CHANNEL, ROLLING_REPLACEMENT, 42a95e9daa03f2c4",
        "SLOW_CHANNEL, OVERLOAD, b3118c5b0eb34782",
        "SLOW_CHANNEL, LOST_REPORTS, 5c66a366a32bcc0f",
        "SLOW_CHANNEL, NODE_FAILURES, 7c2d61d833baa8f0",
        "SLOW_CHANNEL, POLICY_RESTART, ba1f8e566ba34095",
        "SLOW_CHANNEL, CHURN, fb60af3ad14a3ba1",
        "SLOW_CHANNEL, SITE_RETURN, 5fc49ac374bed94e",
        "SLOW_CHANNEL, UNSTEADY_NODES, b219950568e5a622",
        "SLOW_CHANNEL, SLOW_RAMPS, 316733df716ec43d",
        "MANY_GROUPS, MASS_RECONNECT, 96147c6714b97074",
        "MANY_GROUPS, ROLLING_REPLACEMENT, e146ede1c9c72502",
        "MANY_GROUPS, OVERLOAD, 84321d0f7e80e4fb",
        "MANY_GROUPS, LOST_REPORTS, 28173f51596d588a",
        "MANY_GROUPS, NODE_FAILURES, 4e2ddf1373cb65da",
        "MANY_GROUPS, POLICY_RESTART, b5030820457edf0",
        "MANY_GROUPS, CHURN, 867aec2b630d3940",
        "MANY_GROUPS, SITE_RETURN, 300203f2e23b4efb",
        "MANY_GROUPS, UNSTEADY_NODES, cb439573e27b1194",
        "MANY_GROUPS, SLOW_RAMPS, 7bfa029dfef732e8"
    })
    void actionsMatchRecordedDigest(Deployment deployment, History history, String recordedDigest) {
        RecordingActions actions = play(deployment, history);
        for (Count count : history.requiredCounts()) {
            assertTrue(
                    actions.count(count) > 0 || !applies(deployment, count),
                    "expected at least one of " + count + ", found none");
        }
        assertEquals(recordedDigest, Long.toHexString(actions.digest()));
    }

    /** Returns false for admission limits in a deployment whose proxies apply none. */
    private static boolean applies(Deployment deployment, Count count) {
        return deployment != Deployment.SLOW_CHANNEL
                || count != Count.LIMITS && count != Count.LIMITS_LIFTED;
    }

    static RecordingActions play(Deployment deployment, History history) {
        FleetSimulator fleet = new FleetSimulator(deployment, SEED, () -> 0);
        history.play(fleet);
        return fleet.actions();
    }
}
