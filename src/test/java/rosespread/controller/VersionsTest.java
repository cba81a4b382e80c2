package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.junit.jupiter.api.Test;
import rosespread.api.EventHandler.HealthCheckResult;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.channel.FrameReader;
import rosespread.discovery.ListedNode;
import rosespread.settings.FleetSettings;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsReader;
import rosespread.settings.SettingsTest;
import rosespread.store.StoreSnapshot;
import rosespread.table.TableDigest;
import rosespread.validation.TableChangeValidator;

/** Versions over links in memory that lose deltas: what proxies hold in the end, and on the way. */
class VersionsTest {
    private static final long MILLI = 1_000_000L;
    private static final TableId TABLE = new TableId(1);
    private static final int NODES = 6;

    private final ArrayDeque<java.util.function.Consumer<PolicyActions>> scripts =
            new ArrayDeque<>();
    private ControllerState core;
    private MemoryLog log;
    private long now;
    private final NodeState[] states = new NodeState[NODES];
    private final List<Follower> followers = new ArrayList<>();

    /** A proxy that follows the page of the channel to the letter. */
    private final class Follower implements ProxySession.Transport {
        final String name;
        final Map<NodeId, Double> lines = new HashMap<>();
        final List<Frame> message = new ArrayList<>();
        ProxySession link;
        long version;
        boolean bound;
        boolean loses;
        boolean open = true;

        Follower(String name) {
            this.name = name;
            dial();
        }

        void dial() {
            message.clear();
            answers.clear();
            open = true;
            link = core.opened(now, this);
            core.frame(now, link, new Frame.Hello(Frame.VERSION, name, List.of()));
            core.frame(
                    now,
                    link,
                    new Frame.Join(
                            name,
                            "a",
                            1,
                            false,
                            version == 0 ? List.of() : List.of(new Frame.Holding(TABLE, version))));
        }

        @Override
        public void write(byte[] bytes) {
            try {
                List<Frame> read = new ArrayList<>();
                new FrameReader(1 << 20, read::add).feed(ByteBuffer.wrap(bytes));
                read.forEach(this::take);
            } catch (FrameException e) {
                throw new AssertionError(e);
            }
        }

        private void take(Frame frame) {
            if (frame instanceof Frame.KeepAlive) {
                answers.add(new Frame.KeepAlive(0, true));
            } else if (!(frame instanceof Frame.Mark mark)) {
                message.add(frame);
            } else {
                message.forEach(this::apply);
                message.clear();
                answers.add(new Frame.Installed(mark.number()));
            }
        }

        final List<Frame> answers = new ArrayList<>();

        private void apply(Frame frame) {
            if (frame instanceof Frame.Bind bind) {
                assertTrue(bind.version() >= version, "versions only rise");
                lines.clear();
                bind.lines().forEach(l -> lines.put(l.node(), l.weight()));
                version = bind.version();
                bound = true;
                assertEquals(TableDigest.of(lines), bind.digest());
            } else if (frame instanceof Frame.Lines delta && !loses) {
                assertTrue(delta.to() > delta.from());
                boolean follows = delta.from() == version;
                delta.lines()
                        .forEach(
                                l -> {
                                    if (l.weight() == 0) {
                                        lines.remove(l.node());
                                    } else if (follows) {
                                        lines.put(l.node(), l.weight());
                                    }
                                });
                version = follows ? delta.to() : version;
                if (!follows || TableDigest.of(lines) != delta.digest()) {
                    answers.add(new Frame.Missed(TABLE, version));
                }
            }
            lines.forEach(
                    (node, weight) -> assertTrue(weight < 50, "a refused line came: " + weight));
        }

        void answer() {
            List<Frame> all = List.copyOf(answers);
            answers.clear();
            all.forEach(frame -> core.frame(now, link, frame));
        }

        @Override
        public long unwritten() {
            return 0;
        }

        @Override
        public void close(Frame.Reason reason, String text) {
            open = false;
        }

        @Override
        public String remote() {
            return name;
        }
    }

    @BeforeTry
    @org.junit.jupiter.api.BeforeEach
    void begin() throws SettingsException {
        scripts.clear();
        followers.clear();
        now = 1_000_000 * MILLI;
        java.util.Arrays.fill(states, NodeState.READY);
        conductor(StoreSnapshot.EMPTY);
        list();
    }

    /**
     * A process that begins with this; what the one before had not kept is lost, and so are its
     * streams.
     */
    private void conductor(StoreSnapshot image) throws SettingsException {
        scripts.clear();
        log = new MemoryLog(image);
        TableRegistry book = new TableRegistry(log);
        book.restore(image);
        core =
                new ControllerState(
                        new ControllerState.Environment() {
                            @Override
                            public Policy newPolicy(FleetSettings settings, long seed) {
                                return (time, feed, orders) -> {
                                    feed.deliverTo(new SilentObserver());
                                    while (!scripts.isEmpty()) {
                                        scripts.poll().accept(orders);
                                    }
                                };
                            }

                            @Override
                            public void checkHealth(ListedNode node) {}

                            @Override
                            public void watchNodes() {}
                        },
                        new TableChangeValidator(),
                        book,
                        () -> 1_700_000_000_000L + now / MILLI);
        core.apply(
                now,
                SettingsReader.read(
                        SettingsTest.GOOD
                                .replace("\"linesPerSecond\":1000", "\"linesPerSecond\":100000")
                                .replace("\"messageLimit\":30", "\"messageLimit\":0")));
    }

    private static NodeId id(int node) {
        return ListedNode.id("n" + node, "127.0.0.1", 80);
    }

    private void list() {
        List<ListedNode> all = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            if (states[i] != NodeState.GONE) {
                all.add(new ListedNode(id(i), "n" + i, "127.0.0.1", 80, "a", "k", 1, states[i], 0));
            }
        }
        core.list(now, all);
    }

    private void pass(long millis) {
        for (long end = now + millis * MILLI; now < end; ) {
            now += 5 * MILLI;
            core.runDue(now);
            followers.stream().filter(f -> f.open).forEach(Follower::answer);
        }
    }

    private void order(java.util.function.Consumer<PolicyActions> orders) {
        scripts.add(orders);
        core.healthChecked(now, id(0), HealthCheckResult.PASSED);
        pass(20);
    }

    private Follower join(String name) {
        Follower follower = new Follower(name);
        followers.add(follower);
        order(
                orders -> {
                    for (int i = 0; i < followers.size(); i++) {
                        orders.subscribe(
                                new ProxyId(i), List.of(new MethodId(0), new MethodId(1)), TABLE);
                    }
                    orders.requestAcknowledgement(1);
                });
        return follower;
    }

    private void weights(double... weights) {
        order(
                orders -> {
                    for (int i = 0; i < weights.length; i++) {
                        orders.setWeight(TABLE, id(i), weights[i]);
                    }
                    orders.requestAcknowledgement(2);
                });
    }

    private ControllerStatus.Table table() {
        return core.state().tables().get(0);
    }

    private static Map<String, Double> named(Map<NodeId, Double> lines) {
        Map<String, Double> named = new TreeMap<>();
        for (int i = 0; i < NODES; i++) {
            if (lines.containsKey(id(i))) {
                named.put("n" + i, lines.get(id(i)));
            }
        }
        return named;
    }

    @Test
    void aProxyThatMissedADeltaGetsTheWholeTable() {
        weights(1, 1, 1);
        Follower follower = join("p");
        follower.loses = true;
        weights(1, 0.9, 1);
        follower.loses = false;
        weights(1, 0.9, 0.8);
        pass(100);
        assertEquals(Map.of("n0", 1.0, "n1", 0.9, "n2", 0.8), named(follower.lines));
        assertEquals(1, core.state().missedDeltas());
    }

    @Test
    void goesBackHoldsAndReleasesStepByStep() {
        weights(1, 1, 1, 1);
        Follower follower = join("p");
        long good = table().version();
        weights(0.4, 1, 1, 1, 1.5, 1.5);
        assertEquals("", core.rollback(now, TABLE, good));
        pass(100);
        assertEquals(Map.of("n0", 1.0, "n1", 1.0, "n2", 1.0, "n3", 1.0), named(follower.lines));
        assertTrue(table().version() > good);
        weights(0.4, 1, 1, 1, 1.5, 1.5);
        states[1] = NodeState.DRAINING;
        list();
        pass(100);
        assertEquals(
                Map.of("n0", 1.0, "n2", 1.0, "n3", 1.0),
                named(follower.lines),
                "a held table keeps drains");
        weights(0.4, 0, 1, 1, 1.5, 1.5);
        assertEquals("", core.release(now, TABLE));
        pass(300);
        assertTrue(follower.lines.get(id(0)) > 0.4, "not at once: " + follower.lines);
        pass(9000);
        assertEquals(
                Map.of("n0", 0.4, "n2", 1.0, "n3", 1.0, "n4", 1.5, "n5", 1.5),
                named(follower.lines));
        assertEquals("NONE", table().held());
        assertEquals("table 1 is not held", core.release(now, TABLE));
        assertEquals("table 1 has no version 999 any more", core.rollback(now, TABLE, 999));
        assertEquals("no table 7", core.rollback(now, new TableId(7), 1));
    }

    @Test
    void goesBackToAVersionWhoseNodesAreAllGone() {
        weights(1);
        Follower follower = join("p");
        long first = table().version();
        weights(0, 1, 1);
        states[0] = NodeState.GONE;
        list();
        pass(20);
        assertEquals("", core.rollback(now, TABLE, first));
        pass(100);
        assertEquals(5, follower.lines.size(), "all that can serve");
    }

    @Test
    void theLaterOfTwoRollbacksHolds() {
        weights(1, 1, 1);
        Follower follower = join("p");
        long one = table().version();
        weights(1, 0.9, 1);
        long two = table().version();
        weights(1, 0.9, 0.7);
        core.rollback(now, TABLE, one);
        core.rollback(now, TABLE, two);
        pass(100);
        assertEquals(Map.of("n0", 1.0, "n1", 0.9, "n2", 1.0), named(follower.lines));
        core.rollback(now, TABLE, one);
        pass(100);
        assertEquals(Map.of("n0", 1.0, "n1", 1.0, "n2", 1.0), named(follower.lines));
    }

    private void goBack(Random random) {
        if (!core.state().tables().isEmpty()) {
            List<ControllerStatus.Version> kept = table().versions();
            core.rollback(now, TABLE, kept.get(random.nextInt(kept.size())).number());
        }
    }

    /**
     * Restarts, full disks, commits, refused lines, losses, rejoins, drains, rollbacks and releases
     * in any order.
     */
    @Property(seed = "1", tries = 1000)
    void everyProxyEndsWithTheCommittedLines(@ForAll long history) throws SettingsException {
        Random random = new Random(history);
        weights(1, 1, 1, 1, 1, 1);
        for (int step = 0; step < 25; step++) {
            switch (random.nextInt(10)) {
                case 0 -> join("p" + followers.size());
                case 1 -> followers.forEach(f -> f.loses = random.nextBoolean());
                case 2 -> {
                    states[random.nextInt(NODES - 1)] = NodeState.values()[random.nextInt(3)];
                    list();
                }
                case 3 -> goBack(random);
                case 4 -> core.release(now, TABLE);
                case 8 -> {
                    conductor(log.kept.snapshot());
                    list();
                    followers.forEach(Follower::dial);
                }
                case 9 -> {
                    log.stands = !log.stands;
                    log.trouble = log.stands && random.nextBoolean() ? "full" : "";
                    log.keep();
                }
                case 5 ->
                        weights(
                                1,
                                1,
                                1,
                                1,
                                1,
                                random.nextBoolean() ? Double.NaN : Double.POSITIVE_INFINITY);
                case 6 -> {
                    if (!followers.isEmpty()) {
                        Follower gone = followers.get(random.nextInt(followers.size()));
                        core.closed(now, gone.link);
                        gone.dial();
                    }
                }
                default -> {
                    double[] some = new double[NODES];
                    for (int i = 0; i < NODES; i++) {
                        some[i] = states[i] == NodeState.READY ? 0.5 + random.nextDouble() : 0;
                    }
                    weights(some);
                }
            }
            pass(random.nextInt(40));
        }
        followers.forEach(f -> f.loses = false);
        double[] last = new double[NODES];
        for (int i = 0; i < NODES; i++) {
            last[i] = states[i] == NodeState.READY ? 1 : 0;
        }
        weights(last);
        order(
                orders -> {
                    for (int i = 0; i < followers.size(); i++) {
                        orders.subscribe(
                                new ProxyId(i), List.of(new MethodId(0), new MethodId(1)), TABLE);
                    }
                    orders.requestAcknowledgement(1);
                });
        pass(9000);
        for (Follower follower : followers) {
            assertEquals(table().lines(), named(follower.lines), follower.name);
            assertEquals(table().version(), follower.version);
        }
        table().lines()
                .forEach(
                        (name, weight) ->
                                assertEquals(
                                        NodeState.READY,
                                        states[Integer.parseInt(name.substring(1))],
                                        name));
    }
}
