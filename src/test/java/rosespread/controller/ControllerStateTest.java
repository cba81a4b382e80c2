package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.channel.FrameReader;
import rosespread.discovery.ListedNode;
import rosespread.settings.FleetSettings;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsReader;
import rosespread.settings.SettingsTest;
import rosespread.store.TableLog;
import rosespread.validation.TableChangeValidator;

/** The core by a clock of the test's own, with scripted orders and streams in memory. */
class ControllerStateTest {
    private static final long MILLI = 1_000_000L;
    private static final TableId TABLE = new TableId(1);
    private static final NodeId NODE = ListedNode.id("n", "127.0.0.1", 80);

    private final List<String> told = new ArrayList<>();
    private Consumer<PolicyActions> script = orders -> {};
    private final ControllerState core =
            new ControllerState(
                    new ControllerState.Environment() {
                        @Override
                        public Policy newPolicy(FleetSettings settings, long seed) {
                            told.add("fresh planner");
                            return (now, feed, orders) -> {
                                feed.deliverTo(new Ears());
                                Consumer<PolicyActions> once = script;
                                script = o -> {};
                                once.accept(orders);
                            };
                        }

                        @Override
                        public void checkHealth(ListedNode node) {
                            told.add("probe " + node.name());
                        }

                        @Override
                        public void watchNodes() {
                            told.add("follow");
                        }
                    },
                    new TableChangeValidator(),
                    new TableRegistry(TableLog.NONE),
                    () -> 1_700_000_000_000L);
    private long now = 1_000_000 * MILLI;

    private final class Ears implements EventHandler {
        @Override
        public void listStarted(NodeListKind kind) {
            told.add("list " + kind);
        }

        @Override
        public void nodeListed(
                NodeId node,
                MachineTypeId kind,
                ZoneId zone,
                double weight,
                NodeState state,
                long started) {
            told.add(
                    "node "
                            + state
                            + (started == Long.MIN_VALUE ? "" : " up " + (now - started) / MILLI));
        }

        @Override
        public void listCompleted() {}

        @Override
        public void proxyJoined(ProxyId proxy, ZoneId zone, double rate) {
            told.add("joined " + proxy.value());
        }

        @Override
        public void proxyLeft(ProxyId proxy) {
            told.add("left " + proxy.value());
        }

        @Override
        public void acknowledged(ProxyId proxy, int mark, long took) {
            told.add("installed " + mark + " by " + proxy.value() + " in " + took / MILLI);
        }

        @Override
        public void loadReported(
                NodeId node,
                ZoneId zone,
                int tries,
                int unanswered,
                double latency,
                long covers,
                double utilization) {
            told.add(
                    "sums "
                            + tries
                            + "/"
                            + unanswered
                            + " over "
                            + covers / MILLI
                            + " at "
                            + latency);
        }

        @Override
        public void demandReported(ProxyId proxy, MethodId method, int count, long covers) {
            told.add("offered " + method.value() + " " + count);
        }

        @Override
        public void healthChecked(NodeId node, HealthCheckResult verdict) {
            told.add("probed " + verdict);
        }

        @Override
        public void timerFired() {
            told.add("woke");
        }
    }

    private static final class Stream implements ProxySession.Transport {
        final List<Frame> frames = new ArrayList<>();
        String closed;
        long unwritten;
        int bytes;

        @Override
        public void write(byte[] bytes) {
            this.bytes += bytes.length;
            try {
                new FrameReader(1 << 20, 1 << 20, frames::add).feed(ByteBuffer.wrap(bytes));
            } catch (FrameException e) {
                throw new AssertionError(e);
            }
        }

        @Override
        public long writeBufferBytes() {
            return unwritten;
        }

        @Override
        public void close(Frame.Reason reason, String text) {
            closed = reason + ": " + text;
        }

        @Override
        public String remoteAddress() {
            return "memory";
        }

        long count(Predicate<Frame> which) {
            return frames.stream().filter(which).count();
        }

        Frame.Mark mark() {
            return (Frame.Mark)
                    frames.stream()
                            .filter(f -> f instanceof Frame.Mark)
                            .reduce((a, b) -> b)
                            .orElseThrow();
        }
    }

    @BeforeEach
    void settings() throws SettingsException {
        core.applySettings(now, SettingsReader.read(SettingsTest.GOOD));
        pass(20);
        told.clear();
    }

    private void pass(long millis) {
        for (long end = now + millis * MILLI; now < end; ) {
            now += 5 * MILLI;
            core.runDue(now);
        }
    }

    private ProxySession join(Stream stream, String name) {
        return join(stream, new Frame.Join(name, "a", 5));
    }

    private ProxySession join(Stream stream, Frame.Join join) {
        ProxySession link = core.sessionOpened(now, stream);
        core.frameReceived(now, link, new Frame.Hello(Frame.VERSION, join.proxy(), List.of()));
        core.frameReceived(now, link, join);
        return link;
    }

    private void list(EventHandler.NodeState state, long startedMillis) {
        core.nodesListed(
                now,
                List.of(
                        new ListedNode(
                                NODE, "n", "127.0.0.1", 80, "a", "k", 1, state, startedMillis)));
    }

    private void ordered(Consumer<PolicyActions> orders) {
        script = orders;
        core.healthChecked(now, NODE, EventHandler.HealthCheckResult.PASSED);
        pass(15);
    }

    /** What a whole table costs a proxy that unpacks, against one that does not. */
    @Test
    void packsLargeWholeTablesForThoseWhoUnpack() {
        List<ListedNode> all = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            all.add(
                    new ListedNode(
                            ListedNode.id("n" + i, "127.0.0.1", 80 + i),
                            "n" + i,
                            "127.0.0.1",
                            80 + i,
                            "a",
                            "k",
                            1,
                            EventHandler.NodeState.READY,
                            0));
        }
        core.nodesListed(now, all);
        Stream packs = new Stream();
        Stream plain = new Stream();
        join(packs, new Frame.Join("p", "a", 5, true, List.of()));
        join(plain, "q");
        ordered(
                orders -> {
                    all.forEach(node -> orders.setWeight(TABLE, node.id(), 1));
                    orders.subscribe(
                            new ProxyId(0), List.of(new MethodId(0), new MethodId(1)), TABLE);
                    orders.subscribe(
                            new ProxyId(1), List.of(new MethodId(0), new MethodId(1)), TABLE);
                });
        pass(900);
        assertEquals(
                plain.frames.stream().filter(f -> f instanceof Frame.Bind).toList(),
                packs.frames.stream().filter(f -> f instanceof Frame.Bind).toList());
        assertEquals(300, packs.count(f -> f instanceof Frame.Node));
        assertTrue(packs.bytes * 1.5 < plain.bytes, packs.bytes + " of " + plain.bytes);
        // A delta goes as it is, and its nodes are known.
        int before = packs.bytes;
        ordered(orders -> orders.setWeight(TABLE, all.get(0).id(), 0.5));
        pass(100);
        assertTrue(packs.bytes > before);
        assertEquals(300, packs.count(f -> f instanceof Frame.Node), "no node is named twice");
    }

    /**
     * A planner that changes every line of all tables again and again: each is small, together they
     * are not.
     */
    @Test
    void changesOfManyTablesTogetherKeepTheQueueShort() {
        List<ListedNode> all = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            all.add(
                    new ListedNode(
                            ListedNode.id("n" + i, "127.0.0.1", 80 + i),
                            "n" + i,
                            "127.0.0.1",
                            80 + i,
                            "a",
                            "k",
                            1,
                            EventHandler.NodeState.READY,
                            0));
        }
        core.nodesListed(now, all);
        List<Stream> streams = new ArrayList<>();
        List<ProxySession> joined = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            Stream stream = new Stream();
            streams.add(stream);
            joined.add(join(stream, "p" + i));
            int proxy = i;
            int group = i / 10 * 2;
            ordered(
                    orders -> {
                        all.forEach(node -> orders.setWeight(new TableId(1 + group), node.id(), 1));
                        all.forEach(node -> orders.setWeight(new TableId(2 + group), node.id(), 1));
                        orders.subscribe(
                                new ProxyId(proxy),
                                List.of(new MethodId(0)),
                                new TableId(1 + group));
                        orders.subscribe(
                                new ProxyId(proxy),
                                List.of(new MethodId(1)),
                                new TableId(2 + group));
                    });
            pass(150);
        }
        for (int round = 1; round <= 100; round++) {
            double weight = 1 + round / 1e5;
            boolean marked = round % 30 == 0;
            ordered(
                    orders -> {
                        for (int table = 1; table <= 4; table++) {
                            for (ListedNode node : all) {
                                orders.setWeight(new TableId(table), node.id(), weight);
                            }
                        }
                        if (marked) {
                            orders.requestAcknowledgement(1);
                        }
                    });
            for (int i = 0; i < streams.size(); i++) {
                core.frameReceived(now, joined.get(i), new Frame.KeepAlive(1, true));
            }
        }
        assertTrue(
                core.status().mostLinesWaiting() <= 1500,
                core.status().mostLinesWaiting() + " lines");
        assertTrue(
                core.status().tables().stream()
                        .anyMatch(t -> t.refused().containsKey("TOO_MANY_LINES")));
        // A drain goes first, also now.
        list(EventHandler.NodeState.DRAINING, 0);
        pass(1500);
        assertTrue(
                core.status().tables().stream()
                        .allMatch(t -> t.lines().keySet().stream().noneMatch("n"::equals)));
    }

    @Test
    void sendsOneMessageAProxyARoundWithWholeTableThenChanges() {
        Stream stream = new Stream();
        list(EventHandler.NodeState.READY, 0);
        ProxySession link = join(stream, "p");
        ordered(
                orders -> {
                    orders.setWeight(TABLE, NODE, 0.5);
                    orders.setAdmissionLimit(TABLE, new MethodId(0), 7);
                    orders.subscribe(
                            new ProxyId(0), List.of(new MethodId(0), new MethodId(1)), TABLE);
                    orders.requestAcknowledgement(3);
                });
        pass(50);
        assertEquals(
                List.of("Hello", "Node", "Bind", "Mark"),
                stream.frames.stream().map(f -> f.getClass().getSimpleName()).toList());
        Frame.Bind bind = (Frame.Bind) stream.frames.get(2);
        assertEquals(List.of(new Frame.Line(NODE, 0.5)), bind.lines());
        assertEquals(Frame.Tries.AFTER_PROOF, bind.levels().get(0).tries());
        assertEquals(10 + 1 + 3, stream.mark().lines());
        long sentAt = now;
        core.frameReceived(now, link, new Frame.Installed(stream.mark().number()));
        list(EventHandler.NodeState.DRAINING, 0);
        ordered(
                orders -> {
                    orders.setWeight(TABLE, NODE, 0);
                    orders.requestAcknowledgement(4);
                });
        assertTrue(
                told.stream().anyMatch(t -> t.matches("installed 3 by 0 in [0-9]+")),
                told + " " + sentAt);
        pass(50);
        assertEquals(
                1,
                stream.count(
                        f ->
                                f instanceof Frame.Lines l
                                        && l.from() == 1
                                        && l.to() == 2
                                        && l.digest() == 0
                                        && l.lines().equals(List.of(new Frame.Line(NODE, 0)))));
        assertEquals(
                1, stream.count(f -> f instanceof Frame.Node), "a node is named once a stream");
    }

    @Test
    void leavesAtThePaceOfTheSettingsAndCountsWhatWaits() {
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            streams.add(new Stream());
            join(streams.get(i), "p" + i);
        }
        list(EventHandler.NodeState.READY, 0);
        pass(15);
        ordered(
                orders -> {
                    orders.setWeight(TABLE, NODE, 1);
                    for (int i = 0; i < 20; i++) {
                        orders.subscribe(new ProxyId(i), List.of(new MethodId(0)), TABLE);
                    }
                    orders.requestAcknowledgement(1);
                });
        // 13 lines each at 1000 lines a second: 13 ms a message, in order.
        pass(130);
        long left = streams.stream().filter(s -> s.count(f -> f instanceof Frame.Mark) > 0).count();
        assertTrue(left >= 9 && left <= 12, left + " of 20 have left after some 140 ms");
        assertEquals((20 - left) * 13, core.status().linesWaiting());
        pass(150);
        assertEquals(13, streams.get(19).mark().waiting());
        assertEquals(260, core.status().mostLinesWaiting());
        assertTrue(streams.get(19).mark().queuedMicros() >= 255_000);
    }

    @Test
    void dropsAnswersToMarksOfAnEarlierStream() {
        list(EventHandler.NodeState.READY, 0);
        Stream first = new Stream();
        ProxySession link = join(first, "p");
        Consumer<PolicyActions> bind =
                orders -> {
                    orders.setWeight(TABLE, NODE, 1);
                    orders.subscribe(new ProxyId(0), List.of(new MethodId(0)), TABLE);
                    orders.requestAcknowledgement(9);
                };
        ordered(bind);
        pass(50);
        long number = first.mark().number();
        core.sessionClosed(now, link);
        Stream second = new Stream();
        ProxySession again = join(second, "p");
        core.frameReceived(now, again, new Frame.Installed(number));
        pass(20);
        assertFalse(told.stream().anyMatch(t -> t.startsWith("installed")), told.toString());
        assertEquals(1, core.status().strayAnswers());
        ordered(bind);
        pass(50);
        core.frameReceived(now, again, new Frame.Installed(second.mark().number()));
        pass(20);
        assertTrue(told.stream().anyMatch(t -> t.startsWith("installed 9 by 0")), told.toString());
    }

    @Test
    void aNewerStreamOfAProxyTakesThePlaceOfTheOldOne() {
        Stream old = new Stream();
        join(old, "p");
        pass(15);
        join(new Stream(), "p");
        pass(15);
        assertTrue(old.closed.startsWith("REPLACED"), old.closed);
        assertEquals(
                List.of("joined 0", "left 0", "joined 0"),
                told.stream().filter(t -> t.startsWith("joined") || t.startsWith("left")).toList());
    }

    @Test
    void breaksAStreamThatIsSilentAndOneThatDoesNotRead() {
        Stream silent = new Stream();
        Stream slow = new Stream();
        Stream good = new Stream();
        join(silent, "silent");
        ProxySession slowLink = join(slow, "slow");
        ProxySession goodLink = join(good, "good");
        for (int i = 0; i < 30; i++) {
            pass(100);
            core.frameReceived(now, slowLink, new Frame.KeepAlive(1, true));
            core.frameReceived(now, goodLink, new Frame.KeepAlive(1, true));
            slow.unwritten = i > 20 ? 5L << 20 : 0;
        }
        assertTrue(silent.closed.startsWith("SILENT"), silent.closed);
        assertTrue(slow.closed.startsWith("SLOW"), slow.closed);
        assertEquals(null, good.closed);
        assertTrue(good.count(f -> f instanceof Frame.KeepAlive) >= 4);
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
    void closesAStreamThatBreaksTheProtocolAndNoOther(String fault, String reason) {
        Stream other = new Stream();
        ProxySession otherLink = join(other, "other");
        Stream stream = new Stream();
        ProxySession link = core.sessionOpened(now, stream);
        switch (fault) {
            case "version" -> core.frameReceived(now, link, new Frame.Hello(9, "p", List.of()));
            case "order" -> core.frameReceived(now, link, new Frame.Join("p", "a", 1));
            case "late" -> {
                for (int i = 0; i < 60; i++) {
                    pass(100);
                    core.frameReceived(now, otherLink, new Frame.KeepAlive(1, true));
                }
            }
            default -> {
                core.frameReceived(now, link, new Frame.Hello(Frame.VERSION, "p", List.of()));
                core.frameReceived(
                        now, link, new Frame.Join("p", fault.equals("zone") ? "z" : "a", 1));
                core.frameReceived(
                        now,
                        link,
                        fault.equals("kind")
                                ? new Frame.Withdraw(NODE, true)
                                : new Frame.Offered(
                                        1, List.of(new Frame.Count(new MethodId(2), 1))));
            }
        }
        assertTrue(stream.closed.startsWith(reason), stream.closed);
        assertEquals(null, other.closed);
    }

    @Test
    void addsUpWhatProxiesOfAZoneMetOverTheTimeThatTheyCover() {
        list(EventHandler.NodeState.READY, 0);
        ProxySession one = join(new Stream(), "p1");
        ProxySession two = join(new Stream(), "p2");
        for (ProxySession link : List.of(one, one, two, two)) {
            core.frameReceived(
                    now,
                    link,
                    new Frame.Sums(
                            1_000_000,
                            List.of(
                                    new Frame.Sum(NODE, 4, 1, 0.5, 0.3),
                                    new Frame.Sum(new NodeId(99), 1, 0, 1, 1))));
        }
        pass(1100);
        assertEquals(
                List.of("sums 16/4 over 2000 at 0.5"),
                told.stream().filter(t -> t.startsWith("sums")).toList());
        assertEquals(4, core.status().sumsOfUnknownNodes());
    }

    @Test
    void worksOutAStartOnceThoughTheListTellsItOften() {
        list(EventHandler.NodeState.READY, 1_700_000_000_000L - 3000);
        pass(500);
        list(EventHandler.NodeState.DRAINING, 1_700_000_000_000L - 3000);
        pass(15);
        assertEquals(
                List.of("node READY up 3005", "node DRAINING up 3505"),
                told.stream().filter(t -> t.startsWith("node")).toList());
    }

    @Test
    void aModuleThatFailsBeginsAnewAndProxiesRejoin() {
        Stream stream = new Stream();
        list(EventHandler.NodeState.READY, 0);
        join(stream, "p");
        pass(15);
        told.clear();
        ordered(
                orders -> {
                    throw new IllegalStateException("broken on purpose");
                });
        assertTrue(stream.closed.contains("begins anew"), stream.closed);
        join(new Stream(), "p");
        pass(1200);
        assertEquals(
                List.of("probed PASSED", "fresh planner", "list CACHED", "node READY", "joined 0"),
                told.subList(0, 5));
        assertEquals(1, core.status().moduleFaults());
    }

    @Test
    void aListThatIsUnavailableIsToldAndTheLastOneStays() {
        list(EventHandler.NodeState.READY, 0);
        pass(15);
        core.nodeListUnavailable(now, "silent");
        pass(15);
        assertEquals(
                List.of("list FULL", "node READY", "list UNAVAILABLE"),
                told.stream().filter(t -> t.startsWith("list") || t.startsWith("node")).toList());
        assertEquals(1, core.status().nodes().size());
    }
}
