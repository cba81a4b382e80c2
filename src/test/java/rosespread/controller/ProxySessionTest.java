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

/** Sessions of proxies: handshake, keep-alives, acknowledgements and closing. */
class ProxySessionTest {
    private static final ListedNode LISTED_NODE = ControllerFixture.singleNode(NodeState.READY, 0);
    private static final NodeId NODE = LISTED_NODE.id();

    private ControllerFixture fixture;

    @BeforeEach
    void start() throws SettingsException {
        fixture = ControllerFixture.startedAndRecording();
    }

    private void receiveKeepAlive(ProxySession session) {
        fixture.receive(session, new Frame.KeepAlive(1, true));
    }

    @Test
    void dropsAcknowledgementsOfEarlierStream() {
        fixture.listNodes(List.of(LISTED_NODE));
        RecordingTransport first = new RecordingTransport();
        ProxySession session = fixture.join(first, "p");
        Consumer<PolicyActions> subscribe =
                actions -> {
                    actions.setWeight(ControllerFixture.TABLE, NODE, 1);
                    actions.subscribe(
                            new ProxyId(0), List.of(new MethodId(0)), ControllerFixture.TABLE);
                    actions.requestAcknowledgement(9);
                };
        fixture.runRound(subscribe, 15);
        fixture.advanceMillis(50);
        long number = first.lastMark().number();
        fixture.state().sessionClosed(fixture.nowNanos(), session);
        RecordingTransport second = new RecordingTransport();
        ProxySession secondSession = fixture.join(second, "p");
        fixture.receive(secondSession, new Frame.Installed(number));
        fixture.advanceMillis(20);
        assertEquals(List.of(), fixture.recorder().events("acknowledged"));
        assertEquals(1, fixture.status().strayAnswers());
        fixture.runRound(subscribe, 15);
        fixture.advanceMillis(50);
        fixture.receive(secondSession, new Frame.Installed(second.lastMark().number()));
        fixture.advanceMillis(20);
        assertEquals(
                1,
                fixture.recorder().events("acknowledged 9 by 0").size(),
                fixture.recorder().events().toString());
    }

    @Test
    void newerStreamOfProxyReplacesOlderStream() {
        RecordingTransport old = new RecordingTransport();
        fixture.join(old, "p");
        fixture.advanceMillis(15);
        fixture.join(new RecordingTransport(), "p");
        fixture.advanceMillis(15);
        assertTrue(old.closed().startsWith("REPLACED"), old.closed());
        assertEquals(
                List.of("joined 0", "left 0", "joined 0"),
                fixture.recorder().events("joined", "left"));
    }

    @Test
    void closesSilentSessionAndSessionThatDoesNotRead() {
        RecordingTransport silent = new RecordingTransport();
        RecordingTransport slow = new RecordingTransport();
        RecordingTransport good = new RecordingTransport();
        fixture.join(silent, "silent");
        ProxySession slowSession = fixture.join(slow, "slow");
        ProxySession goodSession = fixture.join(good, "good");
        for (int i = 0; i < 30; i++) {
            fixture.advanceMillis(100);
            receiveKeepAlive(slowSession);
            receiveKeepAlive(goodSession);
            slow.setWriteBufferBytes(i > 20 ? 5L << 20 : 0);
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
    void closesOnlySessionThatViolatesProtocol(String fault, String reason) {
        RecordingTransport other = new RecordingTransport();
        ProxySession otherSession = fixture.join(other, "other");
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
                    fixture.advanceMillis(100);
                    receiveKeepAlive(otherSession);
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
