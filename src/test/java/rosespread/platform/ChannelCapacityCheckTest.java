package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import rosespread.api.PolicySettings;
import rosespread.platform.ChannelCapacityCheck.Shortage;
import rosespread.platform.ChannelCapacityCheck.Warning;

class ChannelCapacityCheckTest {
    private static final long DRAIN_TIMEOUT_NANOS = 2 * FleetModel.SECOND;

    private static List<Warning> warnings(
            double entriesPerSecond, double queueLimit, int messageLimit, int proxies) {
        PolicySettings settings =
                FleetModel.settings(
                        2, 3, entriesPerSecond, 3, queueLimit, messageLimit, DRAIN_TIMEOUT_NANOS);
        return ChannelCapacityCheck.warnings(settings, proxies);
    }

    @Test
    void doesNotWarnIfChannelReachesAllProxiesInTime() {
        assertEquals(List.of(), warnings(1600, 13400, 0, 400));
        assertEquals(List.of(), warnings(1600, 13400, 30, 400));
    }

    @Test
    void warnsOfTooManyProxiesForChannelRate() {
        Warning expected =
                new Warning(
                        Shortage.CHANNEL_RATE,
                        "removing one node from 600 proxies takes the channel 2.3 s, the drain"
                                + " timeout is 2.0 s: drains can't finish in time if all proxies"
                                + " connect here");
        assertEquals(List.of(expected), warnings(1600, 13400, 0, 600));
    }

    @Test
    void warnsOfQueueTooShortForOneMessage() {
        Warning expected =
                new Warning(
                        Shortage.QUEUE_LIMIT,
                        "the channel's queue holds 4 entries, the shortest message has 5: nothing"
                                + " can be sent");
        assertEquals(List.of(expected), warnings(1600, 4, 0, 400));
        assertEquals(List.of(), warnings(1600, 5, 0, 400));
    }

    @Test
    void warnsOfMessageIntervalAboveDrainTimeout() {
        Warning expected =
                new Warning(
                        Shortage.MESSAGE_LIMIT,
                        "a proxy may get one message in 2.5 s, the drain timeout is 2.0 s: drains"
                                + " can't finish in time");
        assertEquals(List.of(expected), warnings(1600, 13400, 4, 400));
        assertEquals(List.of(), warnings(1600, 13400, 5, 400));
    }
}
