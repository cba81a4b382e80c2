package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosespread.api.EventHandler;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.channel.FrameReader;
import rosespread.discovery.ListedNode;
import rosespread.drain.Drain;
import rosespread.settings.FleetSettings;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsReader;
import rosespread.settings.SettingsTest;
import rosespread.store.StoreSnapshot;
import rosespread.validation.TableChangeValidator;

/** Messages wait for the disk but not for long, and a conductor goes on from what was kept. */
class RecoveryTest {
    private static final long MILLI = 1_000_000L;
    private static final TableId TABLE = new TableId(1);

    /** The settings' drain grace is 2 s; a tenth of it is waited. */
    private static final long PATIENCE = 200;

    private final class Proxy implements ProxySession.Transport {
        final List<Frame> frames = new ArrayList<>();
        final TreeMap<TableId, Long> versions = new TreeMap<>();
        ProxySession link;
        boolean answers = true;

        Proxy(String name, List<Frame.Holding> held) {
            link = core.opened(now, this);
            core.frame(now, link, new Frame.Hello(Frame.VERSION, name, List.of()));
            core.frame(now, link, new Frame.Join(name, "a", 5, false, held));
        }

        @Override
        public void write(byte[] bytes) {
            try {
                new FrameReader(
                                1 << 20,
                                frame -> {
                                    frames.add(frame);
                                    if (frame instanceof Frame.Bind bind) {
                                        versions.put(bind.table(), bind.version());
                                    } else if (frame instanceof Frame.Lines delta) {
                                        assertEquals(
                                                versions.put(delta.table(), delta.to()),
                                                delta.from());
                                    } else if (frame instanceof Frame.Mark mark && answers) {
                                        core.frame(now, link, new Frame.Installed(mark.number()));
                                    }
                                })
                        .feed(ByteBuffer.wrap(bytes));
            } catch (FrameException e) {
                throw new AssertionError(e);
            }
        }

        long messages() {
            return frames.stream().filter(f -> f instanceof Frame.Mark).count();
        }

        @Override
        public long unwritten() {
            return 0;
        }

        @Override
        public void close(Frame.Reason reason, String text) {}

        @Override
        public String remote() {
            return "memory";
        }
    }

    private Consumer<PolicyActions> script = orders -> {};
    private MemoryLog disk;
    private ControllerState core;
    private long now = 1_000_000 * MILLI;

    /** A conductor that has begun with this, as a process does. */
    private void begin(StoreSnapshot image, String settings) throws SettingsException {
        disk = new MemoryLog(image);
        TableRegistry book = new TableRegistry(disk);
        book.restore(image);
        core =
                new ControllerState(
                        new ControllerState.Environment() {
                            @Override
                            public Policy newPolicy(FleetSettings of, long seed) {
                                return (time, feed, orders) -> {
                                    feed.deliverTo(new SilentObserver());
                                    Consumer<PolicyActions> once = script;
                                    script = o -> {};
                                    once.accept(orders);
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
        core.apply(now, SettingsReader.read(settings));
        pass(20);
    }

    @BeforeEach
    void begin() throws SettingsException {
        begin(StoreSnapshot.EMPTY, SettingsTest.GOOD);
    }

    /** Ends outright; all that was not kept is lost. */
    private void restart() throws SettingsException {
        begin(disk.kept.snapshot(), SettingsTest.GOOD);
    }

    private void pass(long millis) {
        for (long end = now + millis * MILLI; now < end; ) {
            now += 5 * MILLI;
            core.runDue(now);
        }
    }

    private static NodeId id(int node) {
        return ListedNode.id("n" + node, "127.0.0.1", 80);
    }

    private void list(int... ready) {
        List<ListedNode> all = new ArrayList<>();
        for (int i : ready) {
            all.add(
                    new ListedNode(
                            id(i),
                            "n" + i,
                            "127.0.0.1",
                            80,
                            "a",
                            "k",
                            1,
                            EventHandler.NodeState.READY,
                            0));
        }
        core.list(now, all);
        pass(20);
    }

    private void order(Consumer<PolicyActions> orders) {
        script = orders;
        core.healthChecked(now, id(0), EventHandler.HealthCheckResult.PASSED);
        pass(20);
    }

    private void weights(double... weights) {
        order(
                orders -> {
                    for (int i = 0; i < weights.length; i++) {
                        orders.setWeight(TABLE, id(i), weights[i]);
                    }
                });
    }

    private Proxy bound(String name, Frame.Holding... held) {
        Proxy proxy = new Proxy(name, List.of(held));
        order(
                orders -> {
                    for (int i = 0; i < core.state().proxies(); i++) {
                        orders.subscribe(new ProxyId(i), List.of(new MethodId(0)), TABLE);
                    }
                });
        pass(200);
        return proxy;
    }

    private ControllerStatus.Table table() {
        return core.table(TABLE).orElseThrow();
    }

    @Test
    void aMessageWaitsUntilWhatItTellsIsKept() {
        list(0, 1);
        weights(1, 1);
        Proxy proxy = bound("p");
        long before = proxy.messages();
        disk.stands = true;
        weights(1, 0.7);
        pass(PATIENCE - 100);
        assertEquals(before, proxy.messages());
        disk.keep();
        pass(5);
        assertEquals(before + 1, proxy.messages());
        assertEquals(0, core.state().storage().unkeptMessages());
    }

    @Test
    void aSlowMemoryLogDelaysNothingForLongAndIsWaitedForOnce() {
        list(0, 1);
        weights(1, 1);
        Proxy proxy = bound("p");
        long before = proxy.messages();
        disk.stands = true;
        weights(1, 0.7);
        pass(PATIENCE + 20);
        assertEquals(before + 1, proxy.messages());
        assertTrue(core.state().storage().late());
        weights(1, 0.8);
        pass(40);
        assertEquals(before + 2, proxy.messages(), "the next does not wait again");
        disk.stands = false;
        disk.keep();
        weights(1, 0.9);
        pass(40);
        assertTrue(!core.state().storage().late());
        assertEquals(2, core.state().storage().unkeptMessages());
    }

    @Test
    void aBrokenMemoryLogDelaysNothing() {
        list(0, 1);
        weights(1, 1);
        Proxy proxy = bound("p");
        long before = proxy.messages();
        disk.stands = true;
        disk.trouble = "No space left on device";
        weights(1, 0.7);
        pass(40);
        assertEquals(before + 1, proxy.messages());
        assertEquals("No space left on device", core.state().storage().trouble());
    }

    @Test
    void goesOnFromWhatWasKept() throws SettingsException {
        list(0, 1, 2);
        weights(1, 1, 1);
        bound("p");
        weights(1, 0.7, 1);
        long version = table().version();
        long digestOf = table().versions().size();
        restart();
        assertEquals(version, table().version());
        assertEquals(digestOf, table().versions().size());
        // Before the list is known nothing moves; then what is not listed any more goes.
        pass(500);
        assertEquals(3, table().lines().size());
        list(0, 1);
        pass(50);
        assertEquals(2, table().lines().size());
        weights(1, 0.7);
        Proxy again = bound("p", new Frame.Holding(TABLE, version));
        assertTrue(again.versions.get(TABLE) >= version);
        assertEquals("NONE", table().held());
    }

    /**
     * What a slow link holds counts: the way back does not fill it up further, and goes on once it
     * is empty.
     */
    @Test
    void aRollbackWaitsWhileMostProxiesOweAnswers() {
        list(0, 1, 2);
        weights(1, 1, 1);
        Proxy proxy = bound("p");
        long first = table().version();
        weights(0.5, 0.6, 0.7);
        pass(100);
        proxy.answers = false;
        for (int i = 0; i < 90; i++) {
            proxy.link.marks.addLast(new ProxySession.Marked(1 + i, 1, -1, now, 30, now));
        }
        for (int i = 0; i < 8; i++) {
            pass(100);
            core.frame(now, proxy.link, new Frame.KeepAlive(1, true));
        }
        assertEquals("", core.rollback(now, TABLE, first));
        pass(200);
        assertEquals(0.5, core.state().tables().get(0).lines().get("n0"), "nothing of it left yet");
        proxy.link.marks.clear();
        order(orders -> {});
        pass(100);
        assertEquals(1.0, core.state().tables().get(0).lines().get("n0"));
    }

    /** A drain ends with its node; a list that has not told of the node yet ends nothing. */
    @Test
    void aDrainEndsWhenItsNodeIsGone() {
        list(0, 1);
        assertEquals(
                DrainResult.Kind.DONE,
                core.drain(now, new DrainRequest("n1", true, "o", "c", -1, true)).kind());
        core.hear(now, List.of(new Drain(id(2), "n2", true, 9, "p", "d", 0)));
        list(0, 1);
        assertEquals(List.of("n1", "n2"), drained());
        list(0);
        assertEquals(List.of("n2"), drained());
        list(0, 1, 2);
        assertEquals(List.of("n2"), drained());
        assertEquals(
                "DRAINING",
                core.state().nodes().stream()
                        .filter(n -> n.name().equals("n2"))
                        .findFirst()
                        .orElseThrow()
                        .state());
    }

    private List<String> drained() {
        return core.drains().stream().filter(Drain::on).map(Drain::name).sorted().toList();
    }

    @Test
    void holdsOutliveTheProcess() throws SettingsException {
        list(0, 1, 2);
        weights(1, 1, 1);
        bound("p");
        long first = table().version();
        weights(1, 0.5, 0.5);
        assertEquals("", core.rollback(now, TABLE, first));
        pass(100);
        restart();
        list(0, 1, 2);
        weights(0.2, 0.3, 1);
        bound("p");
        assertEquals("PINNED", table().held());
        assertEquals(1.0, table().lines().get("n0"));
        assertEquals("", core.release(now, TABLE));
        restart();
        assertEquals("RELEASING", table().held());
        list(0, 1, 2);
        weights(0.2, 0.3, 1);
        pass(9000);
        assertEquals("NONE", table().held());
        assertEquals(0.3, table().lines().get("n1"));
    }

    /** Killed after a rollback was ordered and before its lines could leave. */
    @Test
    void aRollbackGoesOnAfterARestart() throws SettingsException {
        list(0, 1, 2);
        weights(1, 1, 1);
        long first = table().version();
        Proxy proxy = bound("p");
        weights(0.5, 0.6, 0.7);
        // So much was written lately that a message must wait.
        for (int i = 0; i < 40; i++) {
            proxy.link.written.addLast(now);
        }
        assertEquals("", core.rollback(now, TABLE, first));
        restart();
        assertEquals("PINNED", table().held());
        list(0, 1, 2);
        pass(50);
        assertEquals(
                new TreeMap<>(java.util.Map.of("n0", 1.0, "n1", 1.0, "n2", 1.0)), table().lines());
    }

    @Test
    void numbersGoOnBeyondWhatAProxyHoldsFromElsewhere() {
        list(0, 1);
        weights(1, 1);
        Proxy first = bound("p");
        long low = first.versions.get(TABLE);
        Proxy stranger =
                bound("q", new Frame.Holding(TABLE, 5000), new Frame.Holding(new TableId(77), 9));
        assertTrue(stranger.versions.get(TABLE) > 5000, stranger.versions.toString());
        assertEquals(stranger.versions.get(TABLE), first.versions.get(TABLE));
        assertTrue(first.versions.get(TABLE) > low);
        long now = stranger.versions.get(TABLE);
        Proxy third = bound("r", new Frame.Holding(TABLE, 5100));
        assertEquals(now, third.versions.get(TABLE), "one jump is enough for proxies of one past");
        bound("s", new Frame.Holding(TABLE, Long.MAX_VALUE));
        assertEquals(now, table().version(), "a number that none can have come to is passed over");
        weights(1, 0.5);
        pass(50);
        assertEquals(now + 1, first.versions.get(TABLE));
        assertEquals(0, core.state().missedDeltas());
    }

    @Test
    void numbersBeginBeyondWhatProxiesHoldIfNothingWasKept() throws SettingsException {
        begin(StoreSnapshot.EMPTY, SettingsTest.GOOD);
        list(0, 1);
        Proxy proxy = new Proxy("p", List.of(new Frame.Holding(TABLE, 700)));
        order(
                orders -> {
                    orders.setWeight(TABLE, id(0), 1);
                    orders.subscribe(new ProxyId(0), List.of(new MethodId(0)), TABLE);
                });
        pass(100);
        assertTrue(proxy.versions.get(TABLE) > 700);
    }

    /**
     * Other methods or zones make other tables: holds and old versions would mean something else.
     */
    @Test
    void otherSettingsLetGoOfHoldsButNotOfNumbers() throws SettingsException {
        list(0, 1);
        weights(1, 1);
        bound("p");
        weights(1, 0.5);
        core.pin(now, TABLE);
        long version = table().version();
        core.apply(
                now,
                SettingsReader.read(SettingsTest.GOOD.replace("\"reportPeriod", "\"reportPeriod")));
        assertEquals("PINNED", table().held(), "the same settings change nothing");
        begin(
                disk.kept.snapshot(),
                SettingsTest.GOOD.replaceFirst("\"zones\" *: *\\[\"a\"", "\"zones\":[\"z\",\"a\""));
        assertEquals("NONE", table().held());
        assertEquals(version, table().version());
        assertEquals(1, table().versions().size());
    }
}
