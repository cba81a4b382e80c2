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
 * Pins the bytes written to proxies of the platform: for a fixed row of orders, for a fixed day of
 * the whole core with proxies of two zones, and for the replies to strangers. Longer streams are
 * compared by length and digest, short ones literally.
 */
class RespBytesTest {
    private static final long SECOND = 1_000_000_000L;

    private final PlatformConfig config = PlatformFixture.config();
    private final NodeNameRegistry nodes = new NodeNameRegistry();
    private final UpdateEncoder writer = new UpdateEncoder(config.names(), nodes);
    private final TreeSet<NodeId> restless = new TreeSet<>();
    private final PlatformUpdateWriter orders =
            new PlatformUpdateWriter(2, restless::contains, null);
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
        streams.computeIfAbsent(stream, s -> new ByteArrayOutputStream()).writeBytes(bytes);
    }

    private void join(int proxy) {
        orders.proxyJoined(new ProxyId(proxy));
    }

    private void leave(int proxy) {
        orders.proxyLeft(new ProxyId(proxy));
    }

    private void line(int table, String node, double weight) {
        orders.setWeight(new TableId(table), nodes.register(node), weight);
    }

    private void bind(int proxy, int table, int... methods) {
        List<MethodId> all = new ArrayList<>();
        for (int method : methods) {
            all.add(new MethodId(method));
        }
        orders.subscribe(new ProxyId(proxy), all, new TableId(table));
    }

    private void level(int table, int method, double admitted) {
        orders.setAdmissionLimit(new TableId(table), new MethodId(method), admitted);
    }

    private void withdraw(String node, boolean out) {
        orders.setExcluded(nodes.register(node), out);
    }

    /** Ends the round; a mark below 0 is none. */
    private void round(int mark) {
        if (mark >= 0) {
            orders.requestAcknowledgement(mark);
        }
        orders.finishRound(
                (proxy, parts, last) ->
                        record("proxy " + proxy.value(), writer.encode(parts, last)));
    }

    @Test
    void smallCaseInFull() {
        join(0);
        line(1, "A", 2);
        line(2, "B", 0.1);
        bind(0, 1, 0);
        bind(0, 2, 1);
        level(2, 1, 0.5);
        round(7);
        assertEquals(
                "*9|$6|assign|$7|classes|$6|lookup|$5|whole|$1|1|$5|lines|$3|A:2|$4|more|$1|1|"
                        + "*13|$6|assign|$7|classes|$5|order|$5|whole|$1|1|$5|lines|$10|B:0.100000|$5|level|$3|0.5|"
                        + "$5|retry|$1|1|$6|ticket|$1|7|",
                streams.get("proxy 0").toString(StandardCharsets.UTF_8).replace("\r\n", "|"));
    }

    @Test
    void ordersOfManyRounds() {
        begin();
        change();
        shutOut();
        replace();
        assertEquals(
                """
                proxy 0: 561 7d30fa1470e2f090
                proxy 1: 1458 fd21509474d1c12c
                proxy 2: 819 b5581ddaddcee447
                proxy 3: 570 5d87e8815892942e
                """,
                digests());
    }

    private void begin() {
        for (int proxy = 0; proxy < 4; proxy++) {
            join(proxy);
        }
        for (int node = 0; node < 12; node++) {
            line(1 + node % 3, "node-" + node, 1 + node / 7.0);
        }
        bind(0, 1, 0, 1);
        bind(1, 1, 0);
        bind(1, 2, 1);
        bind(2, 3, 1, 0);
        level(1, 0, 3.25);
        level(1, 1, Double.POSITIVE_INFINITY);
        level(2, 1, 0);
        round(1);
    }

    private void change() {
        line(1, "node-0", 0);
        line(1, "node-3", 1e-7);
        line(2, "node-1", 123456789.0);
        round(2);
        level(1, 0, Double.POSITIVE_INFINITY);
        level(3, 0, 0.125);
        level(3, 1, 0.125);
        round(-1);
        bind(3, 2, 0, 1);
        line(3, "node-2", 2.0 / 3);
        level(2, 0, 17);
        round(65_535);
        round(3);
    }

    private void shutOut() {
        withdraw("node-3", true);
        withdraw("node-4", true);
        round(4);
        withdraw("node-3", false);
        line(1, "node-3", 0.5);
        round(5);
        withdraw("node-4", false);
        withdraw("node-2", true);
        round(-1);
        restless.add(nodes.register("node-5"));
        line(3, "node-5", 0.75);
        bind(2, 3, 0);
        bind(2, 1, 1);
        round(6);
    }

    private void replace() {
        leave(0);
        join(1);
        line(2, "node-7", 9);
        withdraw("node-8", true);
        round(7);
        bind(1, 1, 0, 1);
        bind(1, 2, 1);
        round(8);
        line(1, "node-6", 4);
        level(2, 1, 2.5);
        round(9);
    }

    private PlatformState core() throws ConfigException {
        return new PlatformState(
                PlatformFixture.parse(PlatformFixture.config("127.0.0.1:1", "127.0.0.1:2")),
                new PlatformState.HealthCheckSender() {
                    @Override
                    public void checkHealth(NodeId node, NodeEntry target) {}
                },
                new PlatformMetrics(),
                0);
    }

    private ProxyConnection wire(String name) {
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

    private void tell(PlatformState core, ProxyConnection wire, String words) {
        try {
            Message message =
                    new MessageReader(config.names(), config.proxies())
                            .read(List.of(words.split(" ")));
            if (message instanceof Message.ProxyJoin join) {
                core.proxyJoined(now, wire, join);
            } else if (message instanceof Message.LoadReport sums) {
                core.loadReported(now, sums);
            } else if (message instanceof Message.DemandReport offered) {
                core.demandReported(now, offered);
            }
        } catch (MalformedMessageException e) {
            throw new AssertionError(e);
        }
    }

    private void list(PlatformState core, long version, String... nodes) throws ConfigException {
        core.nodeListReceived(
                now,
                NodeList.parse(
                        ("{\"version\":"
                                        + version
                                        + ",\"full\":false,\"servers\":["
                                        + String.join(",", nodes)
                                        + "]}")
                                .getBytes(StandardCharsets.UTF_8)));
    }

    private void pass(PlatformState core, double seconds) {
        for (long until = now + Math.round(seconds * SECOND); now < until; now += SECOND / 50) {
            core.runDue(now);
        }
    }

    private void report(PlatformState core, double utilization) {
        for (String zone : List.of("a", "b")) {
            for (int node = 1; node <= 4; node++) {
                tell(
                        core,
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
            tell(
                    core,
                    null,
                    "client_stats node " + proxy + " route lookup total 300 errors 0 interval 500");
            tell(
                    core,
                    null,
                    "client_stats node " + proxy + " route order total 100 errors 0 interval 500");
        }
    }

    private static String inZoneB(String node) {
        return node.replace("\"zone\":\"a\"", "\"zone\":\"b\"");
    }

    @Test
    void dayOfTheCoreWithProxiesOfTwoZones() throws ConfigException {
        PlatformState core = core();
        list(
                core,
                8,
                PlatformFixture.node("s-2", "SERVING"),
                inZoneB(PlatformFixture.node("s-3", "SERVING")),
                inZoneB(PlatformFixture.node("s-4", "SERVING")));
        tell(core, wire("proxy 0 a"), "attach node 0 locality a w 50 cold 1");
        tell(core, wire("proxy 1 a"), "attach node 1 locality a w 70 cold 0");
        tell(core, wire("proxy 2 b"), "attach node 2 locality b w 90 cold 1");
        pass(core, 1);
        for (int i = 0; i < 12; i++) {
            report(core, i < 6 ? 0.5 : 1.5);
            pass(core, 0.5);
        }
        list(core, 9, PlatformFixture.node("s-1", "DRAINING"));
        pass(core, 1);
        tell(core, wire("proxy 0 a, second stream"), "attach node 0 locality a w 50 cold 0");
        pass(core, 2);
        list(
                core,
                10,
                PlatformFixture.node("s-1", "SERVING")
                        .replace("\"started_ms\":0", "\"started_ms\":108000"));
        pass(core, 6);
        assertEquals(
                """
                proxy 0 a: 443 1009ef16986646d
                proxy 0 a, second stream: 450 f320fe65210abc2c
                proxy 1 a: 1088 b16ca281eaa2f11d
                proxy 2 b: 1088 b16ca281eaa2f11d
                """,
                digests());
    }

    private String exchange(String sent, int answered) throws IOException, ConfigException {
        try (StreamServer server =
                new StreamServer(
                        new EventQueue(),
                        core(),
                        new MessageReader(config.names(), config.proxies()),
                        new PlatformMetrics(),
                        10)) {
            InetSocketAddress at = server.listen(new InetSocketAddress("127.0.0.1", 0));
            try (Socket peer = new Socket(at.getAddress(), at.getPort())) {
                peer.getOutputStream()
                        .write(sent.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
                byte[] answer = peer.getInputStream().readNBytes(answered);
                return new String(answer, StandardCharsets.US_ASCII).replace("\r\n", "|");
            }
        }
    }

    @Test
    void repliesToStrangers() throws IOException, ConfigException {
        assertEquals("*1|$5|hb_ok|*1|$5|hb_ok|", exchange("*1|$2|hb|*1|$2|hb|", 30));
        assertEquals(
                "*3|$6|reject|$6|reason|$19|locality is missing|",
                exchange("*3|$6|attach|$4|node|$1|1|", 1000));
    }
}
