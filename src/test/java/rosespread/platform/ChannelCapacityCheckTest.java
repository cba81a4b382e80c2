package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import rosespread.api.PolicySettings;

class ChannelCapacityCheckTest {
    private static final long GRACE = 2 * FleetModel.SECOND;

    private static PolicySettings settings(double linesPerSecond, double queue, int messages) {
        return FleetModel.settings(2, 3, linesPerSecond, 3, queue, messages, GRACE);
    }

    @Test
    void aChannelThatReachesAllWithinTheGraceIsNoTrouble() {
        assertEquals(List.of(), ChannelCapacityCheck.warnings(settings(1600, 13400, 0), 400));
        assertEquals(List.of(), ChannelCapacityCheck.warnings(settings(1600, 13400, 30), 400));
    }

    @Test
    void tooManyProxiesForTheChannel() {
        assertEquals(
                List.of(
                        "to take one node out at 600 proxies takes the channel 2.3 s, the drain grace is"
                                + " 2.0 s: drains can't be kept if all proxies come here"),
                ChannelCapacityCheck.warnings(settings(1600, 13400, 0), 600));
    }

    @Test
    void aQueueWithoutRoomForOneMessage() {
        assertEquals(
                List.of(
                        "the channel's queue takes 4 lines, the shortest message has 5: nothing can be"
                                + " told"),
                ChannelCapacityCheck.warnings(settings(1600, 4, 0), 400));
        assertEquals(List.of(), ChannelCapacityCheck.warnings(settings(1600, 5, 0), 400));
    }

    @Test
    void messagesFurtherApartThanTheGrace() {
        assertEquals(
                List.of(
                        "a proxy may be written to once in 2.5 s, the drain grace is 2.0 s: drains can't"
                                + " be kept"),
                ChannelCapacityCheck.warnings(settings(1600, 13400, 4), 400));
        assertEquals(List.of(), ChannelCapacityCheck.warnings(settings(1600, 13400, 5), 400));
    }
}
