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
        "RATE_LIMITED, MASS_RECONNECT, 61b32ed453977d8d",
        "RATE_LIMITED, ROLLING_REPLACEMENT, 7cb802e9dffc29ec",
        "RATE_LIMITED, OVERLOAD, 2bae97d0ea2d7c35",
        "RATE_LIMITED, LOST_REPORTS, d17322fd8076d0e0",
        "RATE_LIMITED, NODE_FAILURES, e6b512e4e638281d",
        "RATE_LIMITED, POLICY_RESTART, 8e4091605553ba3",
        "RATE_LIMITED, CHURN, fd7482263352f7c",
        "RATE_LIMITED, SITE_RETURN, e809bcd12d8c24bd",
        "RATE_LIMITED, UNSTEADY_NODES, 4b839e8ae3481b6b",
        "RATE_LIMITED, SLOW_RAMPS, 4274b686f10edec2",
        "ZONED, MASS_RECONNECT, 9fe3bf872585b599",
        "ZONED, ROLLING_REPLACEMENT, d2b979fe5d3e612f",
        "ZONED, OVERLOAD, 69a7f2bb29d42397",
        "ZONED, LOST_REPORTS, 7541c78da8f3652f",
        "ZONED, NODE_FAILURES, 48252dee9697eea4",
        "ZONED, POLICY_RESTART, 94cf261912d55641",
        "ZONED, CHURN, c293f4e94cbe3a6c",
        "ZONED, SITE_RETURN, e2ff696249457577",
        "ZONED, UNSTEADY_NODES, 6226a6daa079246f",
        "ZONED, SLOW_RAMPS, d1637c47f50f5a3d",
        "SLOW_CHANNEL, MASS_RECONNECT, 3ef5f3bce26e14e",
        "SLOW_CHANNEL, ROLLING_REPLACEMENT, c0788277774ec371",
        "SLOW_CHANNEL, OVERLOAD, 65db27f3cf735e33",
        "SLOW_CHANNEL, LOST_REPORTS, 8551d483b222b53d",
        "SLOW_CHANNEL, NODE_FAILURES, f6b66b0266fa27fb",
        "SLOW_CHANNEL, POLICY_RESTART, 3a20d627b91b79cb",
        "SLOW_CHANNEL, CHURN, 75f99b91632e5515",
        "SLOW_CHANNEL, SITE_RETURN, 3d7f5b1b931e4f95",
        "SLOW_CHANNEL, UNSTEADY_NODES, aa50e0a6ab0828b9",
        "SLOW_CHANNEL, SLOW_RAMPS, 456ff60433100b45",
        "MANY_GROUPS, MASS_RECONNECT, 1511517b62552342",
        "MANY_GROUPS, ROLLING_REPLACEMENT, c717b1d43cde980b",
        "MANY_GROUPS, OVERLOAD, 88fcb08469e741a2",
        "MANY_GROUPS, LOST_REPORTS, 4cf0fed431c653d1",
        "MANY_GROUPS, NODE_FAILURES, 3a286252156cbb48",
        "MANY_GROUPS, POLICY_RESTART, 7f021ab3a37a11ae",
        "MANY_GROUPS, CHURN, c127b002b0fcda83",
        "MANY_GROUPS, SITE_RETURN, d2f44c349b130cf7",
        "MANY_GROUPS, UNSTEADY_NODES, 4414373d547e0a34",
        "MANY_GROUPS, SLOW_RAMPS, b0568e1698060f7"
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
