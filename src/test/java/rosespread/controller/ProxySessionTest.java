package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.channel.Frame;
import rosespread.discovery.ListedNode;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsTest;
import rosespread.store.StoreSnapshot;

/** Sessions of proxies: handshake, keep-alive, acknowledgements, and what closes them. */
class ProxySessionTest {
    private static final ListedNode LISTED = ControllerFixture.node("n", 80, NodeState.READY, 0);
    private static final NodeId NODE = LISTED.id();

    private final RecordingEventHandler recorder = new RecordingEventHandler();
    private final ControllerFixture fixture = ControllerFixture.withFixedWallClock(recorder);

    @BeforeEach
    void start() throws SettingsException {
        recorder.useClockOf(fixture);
        fixture.start(StoreSnapshot.EMPTY, SettingsTest.GOOD);
        fixture.pass(20);
        recorder.events().clear();
    }

    private ProxySession join(RecordingTransport transport, String name) {
        return fixture.join(transport, new Frame.Join(name, "a", 5));
    }

    private void keepAlive(ProxySession session) {
        fixture.receive(session, new Frame.KeepAlive(1, true));
    }

    @Test
    void acknowledgementsOfAnEarlierStreamAreDropped() {
        fixture.list(List.of(LISTED));
        RecordingTransport first = new RecordingTransport();
        ProxySession session = join(first, "p");
        Consumer<PolicyActions> subscribe =
                actions -> {
                    actions.setWeight(ControllerFixture.TABLE, NODE, 1);
                    actions.subscribe(
                            new ProxyId(0), List.of(new MethodId(0)), ControllerFixture.TABLE);
                    actions.requestAcknowledgement(9);
                };
        fixture.order(subscribe, 15);
        fixture.pass(50);
        long number = first.lastMark().number();
        fixture.state().sessionClosed(fixture.nowNanos(), session);
        RecordingTransport second = new RecordingTransport();
        ProxySession again = join(second, "p");
        fixture.receive(again, new Frame.Installed(number));
        fixture.pass(20);
        assertEquals(List.of(), recorder.events("installed"));
        assertEquals(1, fixture.status().strayAnswers());
        fixture.order(subscribe, 15);
        fixture.pass(50);
        fixture.receive(again, new Frame.Installed(second.lastMark().number()));
        fixture.pass(20);
        assertEquals(1, recorder.events("installed 9 by 0").size(), recorder.events().toString());
    }

    @Test
    void aNewerStreamOfAProxyReplacesTheOlderOne() {
        RecordingTransport old = new RecordingTransport();
        join(old, "p");
        fixture.pass(15);
        join(new RecordingTransport(), "p");
        fixture.pass(15);
        assertTrue(old.closed().startsWith("REPLACED"), old.closed());
        assertEquals(List.of("joined 0", "left 0", "joined 0"), recorder.events("joined", "left"));
    }

    @Test
    void aSilentSessionIsClosedAndOneThatDoesNotRead() {
        RecordingTransport silent = new RecordingTransport();
        RecordingTransport slow = new RecordingTransport();
        RecordingTransport good = new RecordingTransport();
        join(silent, "silent");
        ProxySession slowSession = join(slow, "slow");
        ProxySession goodSession = join(good, "good");
        for (int i = 0; i < 30; i++) {
            fixture.pass(100);
            keepAlive(slowSession);
            keepAlive(goodSession);
            slow.fillWriteBuffer(i > 20 ? 5L << 20 : 0);
        }
        assertTrue(silent.closed().startsWith("SILENT"), silent.closed());
        assertTrue(slow.closed().startsWith("SLOW"), slow.closed());
        assertNull(good.closed());
        assertTrue(good.count(Frame.KeepAlive.class) >= 4);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "version|BAD_VERSION",
                "zone|BAD_JOIN",
                "order|BAD_FRAME",
                "kind|BAD_FRAME",
                "method|BAD_FRAME",
                "late|SILENT"
            })
    void aSessionThatViolatesTheProtocolIsClosedAndNoOther(String fault, String reason) {
        RecordingTransport other = new RecordingTransport();
        ProxySession otherSession = join(other, "other");
        RecordingTransport transport = new RecordingTransport();
        ProxySession session = fixture.state().sessionOpened(fixture.nowNanos(), transport);
        violate(session, fault, otherSession);
        assertTrue(transport.closed().startsWith(reason), transport.closed());
        assertNull(other.closed());
    }

    private void violate(ProxySession session, String fault, ProxySession otherSession) {
        switch (fault) {
            case "version" -> fixture.receive(session, new Frame.Hello(9, "p", List.of()));
            case "order" -> fixture.receive(session, new Frame.Join("p", "a", 1));
            case "late" -> {
                for (int i = 0; i < 60; i++) {
                    fixture.pass(100);
                    keepAlive(otherSession);
                }
            }
            default -> {
                fixture.receive(session, new Frame.Hello(Frame.VERSION, "p", List.of()));
                fixture.receive(session, new Frame.Join("p", fault.equals("zone") ? "z" : "a", 1));
                fixture.receive(
                        session,
                        fault.equals("kind")
                                ? new Frame.Withdraw(NODE, true)
                                : new Frame.Offered(
                                        1, List.of(new Frame.Count(new MethodId(2), 1))));
            }
        }
    }
}
