package rosespread.stats;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import rosespread.api.ProxyId;

class InFlightMessagesTest {
    private static final ProxyId ONE = new ProxyId(1);
    private static final ProxyId OTHER = new ProxyId(2);
    private final InFlightMessages messages = new InFlightMessages();

    @Test
    void anAcknowledgementSettlesAllThatWasWrittenBeforeToThatProxyAlone() {
        messages.written(ONE, 1, 5, 0);
        messages.written(OTHER, 1, 7, 0);
        messages.written(ONE, 2, 11, 0);
        messages.written(ONE, 3, 13, 0);
        assertEquals(36, messages.entries());
        assertEquals(2, messages.acknowledged(ONE, 2));
        assertEquals(20, messages.entries());
    }

    @Test
    void tokensThatNoMessageCarriesSettleNothing() {
        messages.written(ONE, 5, 5, 0);
        assertEquals(0, messages.acknowledged(ONE, 4));
        assertEquals(0, messages.acknowledged(OTHER, 5));
        assertEquals(5, messages.entries());
        assertEquals(5, messages.acknowledged(ONE, 5));
        assertEquals(0, messages.acknowledged(ONE, 5));
        assertEquals(0, messages.entries());
    }

    @Test
    void tokensWrapWhileSequenceNumbersGoOn() {
        messages.written(ONE, 0xFFFF, 2, 0);
        messages.written(ONE, 0x10003, 3, 0);
        assertEquals(0x10003, messages.acknowledged(ONE, 3));
        assertEquals(0, messages.entries());
    }

    @Test
    void whatIsTooOldExpires() {
        messages.written(ONE, 1, 5, 100);
        messages.written(ONE, 2, 7, 200);
        messages.written(OTHER, 2, 11, 100);
        messages.expire(ONE, 200);
        assertEquals(18, messages.entries());
        assertEquals(0, messages.acknowledged(ONE, 1));
        messages.expire(new ProxyId(9), 200);
        assertEquals(18, messages.entries());
    }

    @Test
    void theEndOfAStreamForgetsWhatWasOnItsWay() {
        messages.written(ONE, 1, 5, 0);
        messages.written(OTHER, 1, 7, 0);
        messages.forget(ONE);
        messages.forget(ONE);
        assertEquals(7, messages.entries());
        assertEquals(0, messages.acknowledged(ONE, 1));
    }

    /** Fractions of entries added and taken away again in any order leave no remainder behind. */
    @Test
    void anEmptyLedgerHoldsNothing() {
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
