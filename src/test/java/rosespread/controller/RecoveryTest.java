package rosespread.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.drain.Drain;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsTest;
import rosespread.store.StoreSnapshot;

/** Messages wait for the disk but not for long, and a restart goes on from what was persisted. */
class RecoveryTest {
    private static final TableId TABLE = ControllerFixture.TABLE;

    /** The settings' drain timeout is 2 s; messages wait a tenth of it for the disk. */
    private static final long DURABILITY_TIMEOUT_MILLIS = 200;

    private final ControllerFixture fixture = ControllerFixture.withRunningWallClock();

    @BeforeEach
    void start() throws SettingsException {
        start(StoreSnapshot.EMPTY, SettingsTest.VALID_SETTINGS);
    }

    private void start(StoreSnapshot persisted, String settings) throws SettingsException {
        fixture.start(persisted, settings);
        fixture.pass(20);
    }

    /** The process ends outright; all that was not durable is lost. */
    private void restart(String settings) throws SettingsException {
        fixture.restart(settings);
        fixture.pass(20);
    }

    private MemoryLog disk() {
        return fixture.log();
    }

    private static NodeId id(int node) {
        return ControllerFixture.id(node);
    }

    private void list(int... ready) {
        fixture.list(
                Arrays.stream(ready)
                        .mapToObj(node -> ControllerFixture.node(node, NodeState.READY))
                        .toList());
        fixture.pass(20);
    }

    private void order(Consumer<PolicyActions> actions) {
        fixture.order(actions, 20);
    }

    private void weights(double... weights) {
        order(
                actions -> {
                    for (int i = 0; i < weights.length; i++) {
                        actions.setWeight(TABLE, id(i), weights[i]);
                    }
                });
    }

    /** A proxy that has joined with these versions; all proxies are subscribed anew. */
    private AcknowledgingProxy subscribed(String name, Frame.Holding... held) {
        AcknowledgingProxy proxy = new AcknowledgingProxy(fixture, name, List.of(held));
        order(
                actions -> {
                    for (int i = 0; i < fixture.status().proxies(); i++) {
                        actions.subscribe(new ProxyId(i), List.of(new MethodId(0)), TABLE);
                    }
                });
        fixture.pass(200);
        return proxy;
    }

    private ControllerStatus.Table table() {
        return fixture.state().table(TABLE).orElseThrow();
    }

    @Test
    void aMessageWaitsUntilWhatItTellsIsDurable() {
        list(0, 1);
        weights(1, 1);
        AcknowledgingProxy proxy = subscribed("p");
        long before = proxy.messages();
        disk().stall();
        weights(1, 0.7);
        fixture.pass(DURABILITY_TIMEOUT_MILLIS - 100);
        assertEquals(before, proxy.messages());
        disk().makeDurable();
        fixture.pass(5);
        assertEquals(before + 1, proxy.messages());
        assertEquals(0, fixture.status().storage().unkeptMessages());
    }

    @Test
    void aSlowDiskDelaysMessagesOnceAndNotForLong() {
        list(0, 1);
        weights(1, 1);
        AcknowledgingProxy proxy = subscribed("p");
        long before = proxy.messages();
        disk().stall();
        weights(1, 0.7);
        fixture.pass(DURABILITY_TIMEOUT_MILLIS + 20);
        assertEquals(before + 1, proxy.messages());
        assertTrue(fixture.status().storage().late());
        weights(1, 0.8);
        fixture.pass(40);
        assertEquals(before + 2, proxy.messages(), "the next does not wait again");
        disk().resume();
        disk().makeDurable();
        weights(1, 0.9);
        fixture.pass(40);
        assertTrue(!fixture.status().storage().late());
        assertEquals(2, fixture.status().storage().unkeptMessages());
    }

    @Test
    void aBrokenDiskDelaysNothing() {
        list(0, 1);
        weights(1, 1);
        AcknowledgingProxy proxy = subscribed("p");
        long before = proxy.messages();
        disk().fail("No space left on device");
        weights(1, 0.7);
        fixture.pass(40);
        assertEquals(before + 1, proxy.messages());
        assertEquals("No space left on device", fixture.status().storage().trouble());
    }

    @Test
    void aRestartGoesOnFromWhatWasPersisted() throws SettingsException {
        list(0, 1, 2);
        weights(1, 1, 1);
        subscribed("p");
        weights(1, 0.7, 1);
        long version = table().version();
        long versions = table().versions().size();
        restart(SettingsTest.VALID_SETTINGS);
        assertEquals(version, table().version());
        assertEquals(versions, table().versions().size());
        // Before the list is known nothing moves; then what is not listed any more goes.
        fixture.pass(500);
        assertEquals(3, table().lines().size());
        list(0, 1);
        fixture.pass(50);
        assertEquals(2, table().lines().size());
        weights(1, 0.7);
        AcknowledgingProxy again = subscribed("p", new Frame.Holding(TABLE, version));
        assertTrue(again.version(TABLE) >= version);
        assertEquals("NONE", table().held());
    }

    /**
     * What a slow link holds counts: the way back does not fill it up further, and goes on once it
     * is empty.
     */
    @Test
    void aRollbackWaitsWhileMostAcknowledgementsAreOverdue() {
        list(0, 1, 2);
        weights(1, 1, 1);
        AcknowledgingProxy proxy = subscribed("p");
        long first = table().version();
        weights(0.5, 0.6, 0.7);
        fixture.pass(100);
        proxy.stopAcknowledging();
        for (int i = 0; i < 90; i++) {
            proxy.session()
                    .awaitAcknowledgement(
                            new ProxySession.UnacknowledgedMessage(
                                    1 + i, 1, -1, fixture.nowNanos(), 30, fixture.nowNanos()));
        }
        for (int i = 0; i < 8; i++) {
            fixture.pass(100);
            fixture.receive(proxy.session(), new Frame.KeepAlive(1, true));
        }
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, first));
        fixture.pass(200);
        assertEquals(
                0.5, fixture.status().tables().get(0).lines().get("n0"), "nothing of it left yet");
        proxy.session().acknowledge(90);
        assertEquals(0, proxy.session().unacknowledgedMessages());
        order(actions -> {});
        fixture.pass(100);
        assertEquals(1.0, fixture.status().tables().get(0).lines().get("n0"));
    }

    /** A drain ends with its node; a list that has not told of the node yet ends nothing. */
    @Test
    void aDrainEndsAsItsNodeIsNoLongerListed() {
        list(0, 1);
        assertEquals(
                DrainResult.Kind.DONE,
                fixture.state()
                        .drain(fixture.nowNanos(), new DrainRequest("n1", true, "o", "c", -1, true))
                        .kind());
        fixture.state()
                .mergeDrains(
                        fixture.nowNanos(), List.of(new Drain(id(2), "n2", true, 9, "p", "d", 0)));
        list(0, 1);
        assertEquals(List.of("n1", "n2"), drained());
        list(0);
        assertEquals(List.of("n2"), drained());
        list(0, 1, 2);
        assertEquals(List.of("n2"), drained());
        assertEquals(
                "DRAINING",
                fixture.status().nodes().stream()
                        .filter(n -> n.name().equals("n2"))
                        .findFirst()
                        .orElseThrow()
                        .state());
    }

    private List<String> drained() {
        return fixture.state().drains().stream()
                .filter(Drain::on)
                .map(Drain::name)
                .sorted()
                .toList();
    }

    @Test
    void pinsOutliveTheProcess() throws SettingsException {
        list(0, 1, 2);
        weights(1, 1, 1);
        subscribed("p");
        long first = table().version();
        weights(1, 0.5, 0.5);
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, first));
        fixture.pass(100);
        restart(SettingsTest.VALID_SETTINGS);
        list(0, 1, 2);
        weights(0.2, 0.3, 1);
        subscribed("p");
        assertEquals("PINNED", table().held());
        assertEquals(1.0, table().lines().get("n0"));
        assertEquals(TableActResult.DONE, fixture.release(TABLE));
        restart(SettingsTest.VALID_SETTINGS);
        assertEquals("RELEASING", table().held());
        list(0, 1, 2);
        weights(0.2, 0.3, 1);
        fixture.pass(9000);
        assertEquals("NONE", table().held());
        assertEquals(0.3, table().lines().get("n1"));
    }

    /** Killed after a rollback was ordered and before its lines could leave. */
    @Test
    void aRollbackGoesOnAfterARestart() throws SettingsException {
        list(0, 1, 2);
        weights(1, 1, 1);
        long first = table().version();
        AcknowledgingProxy proxy = subscribed("p");
        weights(0.5, 0.6, 0.7);
        // So much was written lately that a message must wait.
        for (int i = 0; i < 40; i++) {
            proxy.session().recordMessageQueued(fixture.nowNanos());
        }
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, first));
        restart(SettingsTest.VALID_SETTINGS);
        assertEquals("PINNED", table().held());
        list(0, 1, 2);
        fixture.pass(50);
        assertEquals(new TreeMap<>(Map.of("n0", 1.0, "n1", 1.0, "n2", 1.0)), table().lines());
    }

    @Test
    void versionsGoOnBeyondThoseThatAProxyHoldsFromElsewhere() {
        list(0, 1);
        weights(1, 1);
        AcknowledgingProxy first = subscribed("p");
        long low = first.version(TABLE);
        AcknowledgingProxy other =
                subscribed(
                        "q", new Frame.Holding(TABLE, 5000), new Frame.Holding(new TableId(77), 9));
        assertTrue(other.version(TABLE) > 5000, "version " + other.version(TABLE));
        assertEquals(other.version(TABLE), first.version(TABLE));
        assertTrue(first.version(TABLE) > low);
        long raised = other.version(TABLE);
        AcknowledgingProxy third = subscribed("r", new Frame.Holding(TABLE, 5100));
        assertEquals(raised, third.version(TABLE), "one jump is enough for proxies of one past");
        subscribed("s", new Frame.Holding(TABLE, Long.MAX_VALUE));
        assertEquals(
                raised, table().version(), "a number that none can have come to is passed over");
        weights(1, 0.5);
        fixture.pass(50);
        assertEquals(raised + 1, first.version(TABLE));
        assertEquals(0, fixture.status().missedDeltas());
    }

    @Test
    void versionsBeginBeyondThoseThatProxiesHoldIfNothingWasPersisted() throws SettingsException {
        start(StoreSnapshot.EMPTY, SettingsTest.VALID_SETTINGS);
        list(0, 1);
        AcknowledgingProxy proxy =
                new AcknowledgingProxy(fixture, "p", List.of(new Frame.Holding(TABLE, 700)));
        order(
                actions -> {
                    actions.setWeight(TABLE, id(0), 1);
                    actions.subscribe(new ProxyId(0), List.of(new MethodId(0)), TABLE);
                });
        fixture.pass(100);
        assertTrue(proxy.version(TABLE) > 700);
    }

    /**
     * Other methods or zones make other tables: holds and old versions would mean something else.
     */
    @Test
    void otherSettingsDropPinsButNotVersionNumbers() throws SettingsException {
        list(0, 1);
        weights(1, 1);
        subscribed("p");
        weights(1, 0.5);
        fixture.pin(TABLE);
        long version = table().version();
        fixture.applySettings(
                SettingsTest.VALID_SETTINGS.replace("\"reportPeriod", "\"reportPeriod"));
        assertEquals("PINNED", table().held(), "the same settings change nothing");
        restart(
                SettingsTest.VALID_SETTINGS.replaceFirst(
                        "\"zones\" *: *\\[\"a\"", "\"zones\":[\"z\",\"a\""));
        assertEquals("NONE", table().held());
        assertEquals(version, table().version());
        assertEquals(1, table().versions().size());
    }
}
