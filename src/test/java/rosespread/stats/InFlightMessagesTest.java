package rosespread.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rosespread.api.ProxyId;

class InFlightMessagesTest {
    private static final ProxyId PROXY = new ProxyId(1);
    private static final ProxyId OTHER_PROXY = new ProxyId(2);
    private final InFlightMessages messages = new InFlightMessages();

    @Test
    void acknowledgementRemovesEarlierMessagesOfSameProxyOnly() {
        messages.written(PROXY, 1, 5, 0);
        messages.written(OTHER_PROXY, 1, 7, 0);
        messages.written(PROXY, 2, 11, 0);
        messages.written(PROXY, 3, 13, 0);
        assertEquals(36, messages.entries());
        assertEquals(2, messages.acknowledged(PROXY, 2));
        assertEquals(20, messages.entries());
    }

    @Test
    void unknownTokenRemovesNoMessage() {
        messages.written(PROXY, 5, 5, 0);
        assertEquals(0, messages.acknowledged(PROXY, 4));
        assertEquals(0, messages.acknowledged(OTHER_PROXY, 5));
        assertEquals(5, messages.entries());
        assertEquals(5, messages.acknowledged(PROXY, 5));
        assertEquals(0, messages.acknowledged(PROXY, 5));
        assertEquals(0, messages.entries());
    }

    @Test
    void tokenWrapsAroundWhileSequenceNumberIncreases() {
        messages.written(PROXY, 0xFFFF, 2, 0);
        messages.written(PROXY, 0x10003, 3, 0);
        assertEquals(0x10003, messages.acknowledged(PROXY, 3));
        assertEquals(0, messages.entries());
    }

    @Test
    void messagesWrittenBeforeGivenTimeExpire() {
        messages.written(PROXY, 1, 5, 100);
        messages.written(PROXY, 2, 7, 200);
        messages.written(OTHER_PROXY, 2, 11, 100);
        messages.expire(PROXY, 200);
        assertEquals(18, messages.entries());
        assertEquals(0, messages.acknowledged(PROXY, 1));
        messages.expire(new ProxyId(9), 200);
        assertEquals(18, messages.entries());
    }

    @Test
    void messagesOfRoundsThatTheChannelHasSentDoNotCountButCanBeAcknowledged() {
        messages.written(PROXY, 1, 5, 0);
        messages.written(OTHER_PROXY, 1, 7, 0);
        messages.written(PROXY, 2, 11, 0);
        messages.written(PROXY, 3, 13, 0);
        messages.sentBefore(2);
        assertEquals(24, messages.entries());
        assertEquals(1, messages.acknowledged(OTHER_PROXY, 1));
        assertEquals(24, messages.entries());
        assertEquals(2, messages.acknowledged(PROXY, 2));
        assertEquals(13, messages.entries());
        messages.sentBefore(9);
        messages.forget(PROXY);
        assertEquals(0, messages.entries());
    }

    @Test
    void messagesOfRoundsAssumedSentDoNotCountButCanBeAcknowledged() {
        messages.written(PROXY, 1, 5, 100);
        messages.written(OTHER_PROXY, 2, 7, 200);
        messages.assumeSent(100);
        assertEquals(12, messages.entries());
        messages.assumeSent(200);
        assertEquals(7, messages.entries());
        assertEquals(1, messages.acknowledged(PROXY, 1));
        messages.assumeSent(201);
        assertEquals(0, messages.entries());
        assertEquals(2, messages.acknowledged(OTHER_PROXY, 2));
        assertEquals(0, messages.entries());
    }

    @Test
    void endOfStreamRemovesMessagesOfProxy() {
        messages.written(PROXY, 1, 5, 0);
        messages.written(OTHER_PROXY, 1, 7, 0);
        messages.forget(PROXY);
        messages.forget(PROXY);
        assertEquals(7, messages.entries());
        assertEquals(0, messages.acknowledged(PROXY, 1));
    }

    /** Adding and subtracting fractional entries in any order leaves no rounding remainder. */
    @Test
    void totalIsZeroAfterAllMessagesAreRemoved() {
        SplittableRandom random = new SplittableRandom(4);
        for (int sequence = 1; sequence <= 10_000; sequence++) {
            messages.written(
                    new ProxyId(random.nextInt(50)), sequence, random.nextDouble() * 100, sequence);
        }
        for (int proxy = 0; proxy < 50; proxy++) {
            if (proxy % 2 == 0) {
                messages.forget(new ProxyId(proxy));
            } else {
                messages.expire(new ProxyId(proxy), Long.MAX_VALUE);
            }
        }
        assertEquals(0, messages.entries());
    }
}
