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
    private static final double TOLERANCE = 1e-9;
    private static final ProxyId PROXY = new ProxyId(0);
    private final InFlightMessages inFlight = new InFlightMessages();

    private ChannelBudget budget(PolicySettings settings) {
        OutgoingRound outgoing = new OutgoingRound(settings, new ProxyRegistry(), inFlight);
        return new ChannelBudget(settings, inFlight, outgoing);
    }

    /**
     * The channel carries 1000 entries/s, the drain timeout is 2 s, 500 entries are propagating.
     */
    @ParameterizedTest
    @CsvSource({"2000, 0.5, 1000", "8000, 0.5, 1167", "8000, 0.7, 1433.8", "600, 0.9, 540"})
    void queuedEntriesLeaveWithinDrainTimeout(double queueLimit, double share, double capacity) {
        ChannelBudget budget = budget(new SettingsBuilder().queueLimit(queueLimit).build());
        assertEquals(capacity, budget.capacity(share), TOLERANCE);
    }

    @ParameterizedTest
    @CsvSource({"8000, 1800", "600, 540"})
    void removalsUseUpToNineTenthsOfQueueLimitOrDrainTimeout(double queueLimit, double capacity) {
        ChannelBudget budget = budget(new SettingsBuilder().queueLimit(queueLimit).build());
        assertEquals(capacity, budget.capacityForRemovals(), TOLERANCE);
    }

    @Test
    void unacknowledgedEntriesReduceCapacity() {
        ChannelBudget budget = budget(new SettingsBuilder().build());
        inFlight.written(PROXY, 1, 300, 0);
        assertEquals(700, budget.capacity(0.5), TOLERANCE);
        assertEquals(1500, budget.capacityForRemovals(), TOLERANCE);
    }

    @Test
    void longestTurnIsOneThirdOfDrainTimeout() {
        ChannelBudget budget = budget(new SettingsBuilder().drainTimeout(3).build());
        assertEquals(999_000_000L, budget.maxRemovalWaitNanos());
    }

    @Test
    void messagesUpToShareOfMessageLimitAreAllowed() {
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
