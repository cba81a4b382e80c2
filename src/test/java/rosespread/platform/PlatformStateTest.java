package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.config.ConfigException;

/** Tests the state of sessions, tokens and node lists on the event loop, with a simulated clock. */
class PlatformStateTest {
    private static final long SECOND = 1_000_000_000L;
    private static final ProxyId PROXY = new ProxyId(3);
    private long now = 100 * SECOND;
    private boolean policyFails;
    private final PlatformState state;

    PlatformStateTest() throws ConfigException {
        PlatformConfig config =
                PlatformFixture.parse(
                        PlatformFixture.config("127.0.0.1:1", "127.0.0.1:2")
                                .replace("\"probes\":false", "\"probes\":true"));
        state = new PlatformState(config, this::checkHealth, new PlatformMetrics(), 0);
    }

    /**
     * The policy requests health checks within a round, so an error thrown here fails the policy.
     */
    private void checkHealth(NodeId node, NodeEntry entry) {
        if (policyFails) {
            throw new NoClassDefFoundError("thrown by the test within a round");
        }
    }

    private RecordingConnection join() {
        RecordingConnection connection = new RecordingConnection();
        state.proxyJoined(now, connection, new Message.ProxyJoin(PROXY, new ZoneId(0), 5, true));
        return connection;
    }

    private void run(double seconds) {
        for (long until = now + Math.round(seconds * SECOND); now < until; now += SECOND / 50) {
            state.runDue(now);
        }
    }

    private void failPolicyAndRecover() {
        policyFails = true;
        run(5);
        policyFails = false;
        run(2);
    }

    private void acknowledge(ProxyConnection connection, int token) {
        state.acknowledged(now, connection, new Message.Acknowledgement(PROXY, token, SECOND / 10));
    }

    @Test
    void restartedPolicyIgnoresAcknowledgementsOfEarlierPolicy() {
        RecordingConnection connection = join();
        run(0.2);
        int first = connection.lastToken();
        for (int failure = 1; failure <= 9; failure++) {
            int before = connection.messages().size();
            failPolicyAndRecover();
            assertTrue(connection.messages().size() > before, "the new policy sends a full update");
            acknowledge(connection, first);
            assertEquals(failure, state.status().unmatchedAcknowledgements());
        }
        acknowledge(connection, connection.lastToken());
        assertEquals(9, state.status().unmatchedAcknowledgements());
    }

    /** Guards the metric that shows when unacknowledged messages use up the channel budget. */
    @Test
    void statusCountsQueuedEntriesUntilAcknowledged() {
        RecordingConnection connection = join();
        run(0.2);
        assertEquals(15, state.status().queuedEntries(), "overhead 11, table 1, entry 1, limits 2");
        acknowledge(connection, connection.lastToken());
        run(0.2);
        assertEquals(0, state.status().queuedEntries());
    }

    @Test
    void lateCloseOfReplacedConnectionEndsNoSessionAfterPolicyRestart() {
        RecordingConnection old = join();
        run(0.2);
        RecordingConnection current = join();
        assertTrue(old.isClosed());
        failPolicyAndRecover();
        state.connectionClosed(now, old, PROXY);
        acknowledge(old, current.lastToken());
        assertEquals(1, state.status().joinedProxies());
        assertEquals(1, state.status().subscribedProxies());
        assertEquals(1, state.status().unmatchedAcknowledgements());
        state.connectionClosed(now, current, PROXY);
        assertEquals(0, state.status().joinedProxies());
    }

    @Test
    void emptyFullListRemovesNoNode() {
        RecordingConnection connection = join();
        run(1);
        acknowledge(connection, connection.lastToken());
        run(1);
        List<String> before = List.copyOf(connection.messages());
        state.nodeListReceived(now, new NodeList(9, true, List.of()));
        run(2);
        assertEquals(1, state.status().listedNodes());
        assertEquals(before, connection.messages());
    }

    /**
     * A node with a new name was never excluded; another controller may have excluded a node that
     * restarted.
     */
    @Test
    void readmitsRestartedNodeOnlyIfListedBefore() throws ConfigException {
        for (String name : List.of("s-2", "s-1")) {
            String restarted =
                    PlatformFixture.node(name, "SERVING")
                            .replace("\"started_ms\":0", "\"started_ms\":5000");
            String list = "{\"version\":8,\"full\":false,\"servers\":[" + restarted + "]}";
            state.nodeListReceived(now, NodeList.parse(list.getBytes(StandardCharsets.UTF_8)));
        }
        run(20);
        RecordingConnection connection = join();
        run(1);
        String update = connection.messages().get(0);
        assertTrue(update.contains("s-2:"), update);
        assertTrue(update.contains(" back s-1 "), update);
    }
}
