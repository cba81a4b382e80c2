package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.stats.InFlightMessages;

class ChannelBudgetTest {
    private static final double EXACT = 1e-9;
    private static final ProxyId PROXY = new ProxyId(0);
    private final InFlightMessages inFlight = new InFlightMessages();

    private ChannelBudget budget(PolicySettings settings) {
        OutgoingRound outgoing = new OutgoingRound(settings, new ProxyRegistry(), inFlight);
        return new ChannelBudget(settings, inFlight, outgoing);
    }

    /** 1000 entries a second and a drain timeout of 2 s; 500 entries propagate. */
    @ParameterizedTest
    @CsvSource({"2000, 0.5, 1000", "8000, 0.5, 1167", "8000, 0.7, 1433.8", "600, 0.9, 540"})
    void whatMayWaitLeavesWellWithinTheDrainTimeout(
            double queueLimit, double share, double capacity) {
        ChannelBudget budget = budget(new SettingsBuilder().queueLimit(queueLimit).build());
        assertEquals(capacity, budget.capacity(share), EXACT);
    }

    @ParameterizedTest
    @CsvSource({"8000, 1800", "600, 540"})
    void removalsMayUseNineTenthsOfTheLimitOrOfTheDrainTimeout(double queueLimit, double capacity) {
        ChannelBudget budget = budget(new SettingsBuilder().queueLimit(queueLimit).build());
        assertEquals(capacity, budget.capacityForRemovals(), EXACT);
    }

    @Test
    void unacknowledgedEntriesTakeCapacity() {
        ChannelBudget budget = budget(new SettingsBuilder().build());
        inFlight.written(PROXY, 1, 300, 0);
        assertEquals(700, budget.capacity(0.5), EXACT);
        assertEquals(1500, budget.capacityForRemovals(), EXACT);
    }

    @Test
    void aThirdOfTheDrainTimeoutIsTheLongestTurn() {
        ChannelBudget budget = budget(new SettingsBuilder().drainTimeout(3).build());
        assertEquals(999_000_000L, budget.maxRemovalWaitNanos());
    }

    @Test
    void aPartOfTheMessageLimitIsAllowed() {
        PolicySettings settings = new SettingsBuilder().messageLimit(10).build();
        Proxy proxy =
                new Proxy(PROXY, new ZoneId(0), 1, new ShardRegistry(settings).shards().get(0), 0);
        for (int i = 0; i < 5; i++) {
            proxy.messageWritten(i);
        }
        assertFalse(budget(settings).allowsMessage(proxy, 0.5, 5));
        assertTrue(budget(settings).allowsMessage(proxy, 0.6, 5));
        assertTrue(budget(settings).allowsMessage(proxy, 0.5, 11 * TimeUnits.SECOND));
    }
}
