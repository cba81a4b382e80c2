package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.NodeId;
import rosespread.channel.Frame;
import rosespread.settings.SettingsException;

/** The events that the policy gets (load reports, node lists, node starts), and its restart. */
class ControllerStateTest {
    private static final NodeId NODE = ControllerFixture.singleNode(NodeState.READY, 0).id();

    private ControllerFixture fixture;

    @BeforeEach
    void start() throws SettingsException {
        fixture = ControllerFixture.startedAndRecording();
    }

    private void listNode(NodeState state, long startedMillis) {
        fixture.listNodes(List.of(ControllerFixture.singleNode(state, startedMillis)));
    }

    @Test
    void aggregatesLoadReportsOfZoneOverCoveredTime() {
        listNode(NodeState.READY, 0);
        ProxySession one = fixture.join(new RecordingTransport(), "p1");
        ProxySession two = fixture.join(new RecordingTransport(), "p2");
        for (ProxySession session : List.of(one, one, two, two)) {
            fixture.receive(
                    session,
                    new Frame.Sums(
                            1_000_000,
                            List.of(
                                    new Frame.Sum(NODE, 4, 1, 0.5, 0.3),
                                    new Frame.Sum(new NodeId(99), 1, 0, 1, 1))));
        }
        fixture.advanceMillis(1100);
        assertEquals(List.of("sums 16/4 over 2000 at 0.5"), fixture.recorder().events("sums"));
        assertEquals(4, fixture.status().sumsOfUnknownNodes());
    }

    @Test
    void computesNodeStartOnceWhenListedRepeatedly() {
        listNode(NodeState.READY, ControllerFixture.WALL_MILLIS - 3000);
        fixture.advanceMillis(500);
        listNode(NodeState.DRAINING, ControllerFixture.WALL_MILLIS - 3000);
        fixture.advanceMillis(15);
        assertEquals(
                List.of("node READY up 3005", "node DRAINING up 3505"),
                fixture.recorder().events("node"));
    }

    @Test
    void restartsFailedPolicyAndProxiesRejoin() {
        RecordingTransport transport = new RecordingTransport();
        listNode(NodeState.READY, 0);
        fixture.join(transport, "p");
        fixture.advanceMillis(15);
        fixture.recorder().events().clear();
        fixture.runRound(
                actions -> {
                    throw new IllegalStateException("thrown by the test");
                },
                15);
        assertTrue(
                transport.closed().contains("the routing policy failed and is restarted"),
                transport.closed());
        fixture.join(new RecordingTransport(), "p");
        fixture.advanceMillis(1200);
        assertEquals(
                List.of(
                        "health check PASSED",
                        "new policy",
                        "list CACHED",
                        "node READY",
                        "joined 0"),
                fixture.recorder().events().subList(0, 5));
        assertEquals(1, fixture.status().moduleFaults());
    }

    @Test
    void reportsUnavailableNodeListAndKeepsLastList() {
        listNode(NodeState.READY, 0);
        fixture.advanceMillis(15);
        fixture.state().nodeListUnavailable(fixture.nowNanos(), "silent");
        fixture.advanceMillis(15);
        assertEquals(
                List.of("list FULL", "node READY", "list UNAVAILABLE"),
                fixture.recorder().events("list", "node"));
        assertEquals(1, fixture.status().nodes().size());
    }
}
