package rosespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.policy.state.Proxy;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;
import rosespread.policy.state.ShardTable;
import rosespread.stats.InFlightMessages;

class AcknowledgementTrackerTest {
    private static final long MILLI = 1_000_000L;
    private static final long START = 100 * TimeUnits.SECOND;
    private final PolicySettings settings = new SettingsBuilder().build();
    private final ProxyRegistry proxies = new ProxyRegistry();
    private final ShardRegistry shards = new ShardRegistry(settings);
    private final InFlightMessages inFlight = new InFlightMessages();
    private final OutgoingRound outgoing = new OutgoingRound(settings, proxies, inFlight);
    private final ChannelBudget budget = new ChannelBudget(settings, inFlight, outgoing);
    private final AcknowledgementTracker tracker =
            new AcknowledgementTracker(settings, proxies, shards, inFlight, budget);
    private final Proxy proxy =
            new Proxy(new ProxyId(0), new ZoneId(0), 10, shards.shards().get(0), START);

    @BeforeEach
    void join() {
        proxies.add(proxy);
    }

    private Proxy subscribedProxy(int id) {
        Proxy other = new Proxy(new ProxyId(id), new ZoneId(0), 10, shards.shards().get(0), START);
        proxies.add(other);
        other.subscribe(1, START);
        return other;
    }

    private void settleAfter(long millis) {
        tracker.handleTimeouts(new RoundContext(START + millis * MILLI, new RecordingActions()));
    }

    @ParameterizedTest
    @CsvSource({"2000, 20", "2001, 0"})
    void messagesToUnsubscribedProxyExpireAfterTimeout(long millis, double entries) {
        inFlight.written(proxy.id(), 1, 20, START);
        settleAfter(millis);
        assertEquals(entries, inFlight.entries());
    }

    /** A slow channel must not count as empty, however long its messages take. */
    @Test
    void messageToSubscribedProxyCountsAsQueuedWhileEarlierRoundsAreAcknowledged() {
        Proxy other = subscribedProxy(1);
        proxy.subscribe(1, START);
        for (int sequence = 1; sequence <= 60; sequence++) {
            inFlight.written(other.id(), sequence, 1, START);
        }
        inFlight.written(proxy.id(), 60, 20, START);
        for (int sequence = 1; sequence <= 60; sequence++) {
            long now = START + sequence * TimeUnits.SECOND;
            tracker.acknowledged(other.id(), sequence, MILLI, now);
            settleAfter(sequence * 1000L + 900);
            assertEquals(80 - sequence, inFlight.entries());
        }
    }

    /** Guards against silent streams that use up the channel budget (open streams, no answers). */
    @ParameterizedTest
    @CsvSource({"500, 27", "501, 7"})
    void messagesToSilentProxyStopCountingOnceOtherProxyAcknowledgesLaterRound(
            long millis, double entries) {
        Proxy other = subscribedProxy(1);
        proxy.subscribe(1, START);
        inFlight.written(proxy.id(), 1, 20, START);
        inFlight.written(other.id(), 2, 5, START);
        inFlight.written(proxy.id(), 2, 7, START);
        tracker.acknowledged(other.id(), 2, MILLI, START);
        settleAfter(millis);
        assertEquals(entries, inFlight.entries());
    }

    /** Guards against silent streams that keep the full tables of joining proxies waiting. */
    @ParameterizedTest
    @CsvSource({"2000, 20", "2001, 0"})
    void messagesStopCountingIfNoProxyAcknowledgesForTimeout(long millis, double entries) {
        inFlight.written(proxy.id(), 1, 20, START);
        proxy.subscribe(1, START);
        settleAfter(millis);
        assertEquals(entries, inFlight.entries());
    }

    @Test
    void lateAcknowledgementSettlesDeliveryThatNoLongerCountsAsQueued() {
        ShardTable table = shards.tables().get(0);
        Proxy other = subscribedProxy(1);
        proxy.subscribe(1, START);
        inFlight.written(proxy.id(), 2, 20, START);
        inFlight.written(other.id(), 3, 5, START);
        table.deliveryStarted(2, START);
        table.deliveredTo(proxy.id());
        tracker.acknowledged(other.id(), 3, MILLI, START);
        settleAfter(900);
        assertEquals(0, inFlight.entries());
        tracker.acknowledged(proxy.id(), 2, MILLI, START + TimeUnits.SECOND);
        assertFalse(table.inFlight());
    }

    @ParameterizedTest
    @CsvSource({"2000, false", "2001, true"})
    void fullTableNotAcknowledgedInTimeIsSentAgain(long millis, boolean sentAgain) {
        proxy.subscribe(1, START);
        settleAfter(millis);
        assertEquals(sentAgain, proxy.needsFullTable());
    }

    /**
     * The latency of a single acknowledgement decays: after 2.7 s, three times 1 s counts as 2.3 s.
     */
    @ParameterizedTest
    @CsvSource({"0, 2001, true", "0, 2000, false", "1000, 2700, false", "1000, 2800, true"})
    void timeoutGrowsWithMeasuredLatency(long latency, long millis, boolean sentAgain) {
        inFlight.written(proxy.id(), 1, 20, START);
        proxy.subscribe(1, START);
        tracker.acknowledged(proxy.id(), 1, latency * MILLI, START);
        ShardTable table = shards.tables().get(0);
        table.deliveryStarted(2, START);
        table.deliveredTo(proxy.id());
        settleAfter(millis);
        assertEquals(sentAgain, proxy.needsFullTable());
        assertEquals(!sentAgain, table.inFlight());
    }

    @Test
    void acknowledgementSettlesEarlierDelivery() {
        ShardTable table = shards.tables().get(0);
        table.deliveryStarted(1, START);
        table.deliveredTo(proxy.id());
        inFlight.written(proxy.id(), 1, 20, START);
        tracker.acknowledged(proxy.id(), 1, MILLI, START);
        assertFalse(table.inFlight());
    }
}
