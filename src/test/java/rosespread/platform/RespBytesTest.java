package rosespread.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.dynatrace.hash4j.hashing.Hashing;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.config.ConfigException;
import rosespread.eventloop.EventQueue;

/**
 * Compares the bytes written to the platform's proxies with recorded ones: updates for a fixed
 * sequence of actions, streams of a fixed run of the controller's state with proxies of two zones,
 * and replies to unidentified peers. Longer streams are compared by length and digest, short ones
 * literally.
 */
class RespBytesTest {
    private static final long SECOND = 1_000_000_000L;

    private final PlatformConfig config = PlatformFixture.config();
    private final NodeNameRegistry nodes = new NodeNameRegistry();
    private final UpdateEncoder encoder = new UpdateEncoder(config.names(), nodes);
    private final TreeSet<NodeId> possiblyExcluded = new TreeSet<>();
    private final PlatformUpdateWriter updates =
            new PlatformUpdateWriter(2, possiblyExcluded::contains, null);
    private final Map<String, ByteArrayOutputStream> streams = new TreeMap<>();
    private long now = 100 * SECOND;

    private static String digest(byte[] bytes) {
        return bytes.length + " " + Long.toHexString(Hashing.xxh3_64().hashBytesToLong(bytes));
    }

    private String digests() {
        StringBuilder all = new StringBuilder();
        streams.forEach(
                (name, bytes) ->
                        all.append(name)
                                .append(": ")
                                .append(digest(bytes.toByteArray()))
                                .append('\n'));
        return all.toString();
    }

    private void record(String stream, byte[] bytes) {
        streams.computeIfAbsent(stream, absent -> new ByteArrayOutputStream()).writeBytes(bytes);
    }

    private void join(int proxy) {
        updates.proxyJoined(new ProxyId(proxy));
    }

    private void leave(int proxy) {
        updates.proxyLeft(new ProxyId(proxy));
    }

    private void setWeight(int table, String node, double weight) {
        updates.setWeight(new TableId(table), nodes.register(node), weight);
    }

    private void subscribe(int proxy, int table, int... methods) {
        List<MethodId> all = new ArrayList<>();
        for (int method : methods) {
            all.add(new MethodId(method));
        }
        updates.subscribe(new ProxyId(proxy), all, new TableId(table));
    }

    private void setAdmissionLimit(int table, int method, double limit) {
        updates.setAdmissionLimit(new TableId(table), new MethodId(method), limit);
    }

    private void setExcluded(String node, boolean excluded) {
        updates.setExcluded(nodes.register(node), excluded);
    }

    /** Ends the round; a negative token requests no acknowledgement. */
    private void finishRound(int policyToken) {
        if (policyToken >= 0) {
            updates.requestAcknowledgement(policyToken);
        }
        updates.finishRound(
                (proxy, parts, token) ->
                        record("proxy " + proxy.value(), encoder.encode(parts, token)));
    }

    @Test
    void updateKeepsRecordedBytes() {
        join(0);
        setWeight(1, "A", 2);
        setWeight(2, "B", 0.1);
        subscribe(0, 1, 0);
        subscribe(0, 2, 1);
        setAdmissionLimit(2, 1, 0.5);
        finishRound(7);
        assertEquals(
                "*9|$6|assign|$7|classes|$6|lookup|$5|whole|$1|1|$5|lines|$3|A:2|$4|more|$1|1|"
                        + "*13|$6|assign|$7|classes|$5|order|$5|whole|$1|1|$5|lines|$10|B:0.100000|$5|level|$3|0.5|"
                        + "$5|retry|$1|1|$6|ticket|$1|7|",
                streams.get("proxy 0").toString(StandardCharsets.UTF_8).replace("\r\n", "|"));
    }

    @Test
    void updatesOfManyRoundsKeepRecordedBytes() {
        writeInitialTables();
        writeTableChanges();
        writeExclusions();
        writeAfterReconnects();
        assertEquals(
                """
                proxy 0: 561 7d30fa1470e2f090
                proxy 1: 1458 fd21509474d1c12c
                proxy 2: 819 b5581ddaddcee447
                proxy 3: 570 5d87e8815892942e
                """,
                digests());
    }

    private void writeInitialTables() {
        for (int proxy = 0; proxy < 4; proxy++) {
            join(proxy);
        }
        for (int node = 0; node < 12; node++) {
            setWeight(1 + node % 3, "node-" + node, 1 + node / 7.0);
        }
        subscribe(0, 1, 0, 1);
        subscribe(1, 1, 0);
        subscribe(1, 2, 1);
        subscribe(2, 3, 1, 0);
        setAdmissionLimit(1, 0, 3.25);
        setAdmissionLimit(1, 1, Double.POSITIVE_INFINITY);
        setAdmissionLimit(2, 1, 0);
        finishRound(1);
    }

    private void writeTableChanges() {
        setWeight(1, "node-0", 0);
        setWeight(1, "node-3", 1e-7);
        setWeight(2, "node-1", 123456789.0);
        finishRound(2);
        setAdmissionLimit(1, 0, Double.POSITIVE_INFINITY);
        setAdmissionLimit(3, 0, 0.125);
        setAdmissionLimit(3, 1, 0.125);
        finishRound(-1);
        subscribe(3, 2, 0, 1);
        setWeight(3, "node-2", 2.0 / 3);
        setAdmissionLimit(2, 0, 17);
        finishRound(65_535);
        finishRound(3);
    }

    private void writeExclusions() {
        setExcluded("node-3", true);
        setExcluded("node-4", true);
        finishRound(4);
        setExcluded("node-3", false);
        setWeight(1, "node-3", 0.5);
        finishRound(5);
        setExcluded("node-4", false);
        setExcluded("node-2", true);
        finishRound(-1);
        possiblyExcluded.add(nodes.register("node-5"));
        setWeight(3, "node-5", 0.75);
        subscribe(2, 3, 0);
        subscribe(2, 1, 1);
        finishRound(6);
    }

    private void writeAfterReconnects() {
        leave(0);
        join(1);
        setWeight(2, "node-7", 9);
        setExcluded("node-8", true);
        finishRound(7);
        subscribe(1, 1, 0, 1);
        subscribe(1, 2, 1);
        finishRound(8);
        setWeight(1, "node-6", 4);
        setAdmissionLimit(2, 1, 2.5);
        finishRound(9);
    }

    private PlatformState newState() throws ConfigException {
        return new PlatformState(
                PlatformFixture.parse(PlatformFixture.config("127.0.0.1:1", "127.0.0.1:2")),
                new PlatformState.HealthCheckSender() {
                    @Override
                    public void checkHealth(NodeId node, NodeEntry entry) {}
                },
                new PlatformMetrics(),
                0);
    }

    private ProxyConnection connection(String name) {
        return new ProxyConnection() {
            @Override
            public void write(byte[] message) {
                record(name, message);
            }

            @Override
            public long writeBufferBytes() {
                return 0;
            }

            @Override
            public void close() {
                record(name, "closed".getBytes(StandardCharsets.US_ASCII));
            }
        };
    }

    private void receive(PlatformState state, ProxyConnection connection, String words) {
        try {
            Message message =
                    new MessageReader(config.names(), config.proxies())
                            .read(List.of(words.split(" ")));
            if (message instanceof Message.ProxyJoin join) {
                state.proxyJoined(now, connection, join);
            } else if (message instanceof Message.LoadReport report) {
                state.loadReported(now, report);
            } else if (message instanceof Message.DemandReport report) {
                state.demandReported(now, report);
            }
        } catch (MalformedMessageException e) {
            throw new AssertionError(e);
        }
    }

    private void receiveNodeList(PlatformState state, long version, String... nodes)
            throws ConfigException {
        state.nodeListReceived(
                now,
                NodeList.parse(
                        ("{\"version\":"
                                        + version
                                        + ",\"full\":false,\"servers\":["
                                        + String.join(",", nodes)
                                        + "]}")
                                .getBytes(StandardCharsets.UTF_8)));
    }

    private void run(PlatformState state, double seconds) {
        for (long until = now + Math.round(seconds * SECOND); now < until; now += SECOND / 50) {
            state.runDue(now);
        }
    }

    private void sendReports(PlatformState state, double utilization) {
        for (String zone : List.of("a", "b")) {
            for (int node = 1; node <= 4; node++) {
                receive(
                        state,
                        null,
                        "upstream_stats endpoint s-"
                                + node
                                + " locality "
                                + zone
                                + " total 400 errors 4 rtt 20 interval 500 metrics utilization:"
                                + utilization);
            }
        }
        for (int proxy = 0; proxy < 3; proxy++) {
            receive(
                    state,
                    null,
                    "client_stats node " + proxy + " route lookup total 300 errors 0 interval 500");
            receive(
                    state,
                    null,
                    "client_stats node " + proxy + " route order total 100 errors 0 interval 500");
        }
    }

    private static String inZoneB(String node) {
        return node.replace("\"zone\":\"a\"", "\"zone\":\"b\"");
    }

    @Test
    void streamsOfTwoZonesKeepRecordedBytes() throws ConfigException {
        PlatformState state = newState();
        receiveNodeList(
                state,
                8,
                PlatformFixture.node("s-2", "SERVING"),
                inZoneB(PlatformFixture.node("s-3", "SERVING")),
                inZoneB(PlatformFixture.node("s-4", "SERVING")));
        receive(state, connection("proxy 0 a"), "attach node 0 locality a w 50 cold 1");
        receive(state, connection("proxy 1 a"), "attach node 1 locality a w 70 cold 0");
        receive(state, connection("proxy 2 b"), "attach node 2 locality b w 90 cold 1");
        run(state, 1);
        for (int i = 0; i < 12; i++) {
            sendReports(state, i < 6 ? 0.5 : 1.5);
            run(state, 0.5);
        }
        receiveNodeList(state, 9, PlatformFixture.node("s-1", "DRAINING"));
        run(state, 1);
        receive(
                state,
                connection("proxy 0 a, second stream"),
                "attach node 0 locality a w 50 cold 0");
        run(state, 2);
        receiveNodeList(
                state,
                10,
                PlatformFixture.node("s-1", "SERVING")
                        .replace("\"started_ms\":0", "\"started_ms\":108000"));
        run(state, 6);
        assertEquals(
                """
                proxy 0 a: 348 add4a45c8f290f74
                proxy 0 a, second stream: 481 f7f0136077bf8c85
                proxy 1 a: 631 afadb172ac61f275
                proxy 2 b: 631 afadb172ac61f275
                """,
                digests());
    }

    private String exchange(String sent, int replyBytes) throws IOException, ConfigException {
        try (StreamServer server =
                new StreamServer(
                        new EventQueue(),
                        newState(),
                        new MessageReader(config.names(), config.proxies()),
                        new PlatformMetrics(),
                        10)) {
            InetSocketAddress address = server.listen(new InetSocketAddress("127.0.0.1", 0));
            try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
                peer.getOutputStream()
                        .write(sent.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
                byte[] reply = peer.getInputStream().readNBytes(replyBytes);
                return new String(reply, StandardCharsets.US_ASCII).replace("\r\n", "|");
            }
        }
    }

    @Test
    void repliesToUnidentifiedPeersKeepRecordedBytes() throws IOException, ConfigException {
        assertEquals("*1|$5|hb_ok|*1|$5|hb_ok|", exchange("*1|$2|hb|*1|$2|hb|", 30));
        assertEquals(
                "*3|$6|reject|$6|reason|$19|locality is missing|",
                exchange("*3|$6|attach|$4|node|$1|1|", 1000));
    }
}
