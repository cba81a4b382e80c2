package rosespread.validation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Limits on messages that are sent in addition to those of the routing policy. */
class ChannelCapacityTest {
    private static final long ROUND_TRIP_NANOS = 500_000_000L;

    @ParameterizedTest
    @CsvSource({"500,3,10,0", "500,6,10,500", "500,5,10,0", "0,0,0,0"})
    void overdueEntriesCountAsQueuedIfMostProxiesAreLate(
            long entries, long lateProxies, long proxies, long countedEntries) {
        assertEquals(countedEntries, ChannelCapacity.overdueEntries(entries, lateProxies, proxies));
        assertTrue(ChannelCapacity.isOverdue(801_000_000L, ROUND_TRIP_NANOS));
        assertFalse(ChannelCapacity.isOverdue(799_000_000L, ROUND_TRIP_NANOS));
    }

    @ParameterizedTest
    @CsvSource({
        "1000,0,10,11,false,39",
        "1000,300,10,11,false,9",
        "1000,600,10,11,false,0",
        "1000,600,10,11,true,19",
        "1000,0,0,11,false,489"
    })
    void reservesShareOfQueueForPolicyAndSmallerShareDuringDrain(
            double queueLimit,
            double queued,
            int proxies,
            double messageOverhead,
            boolean drain,
            int available) {
        assertEquals(
                available,
                ChannelCapacity.availableEntries(
                        queueLimit, queued, proxies, messageOverhead, drain));
    }
}
