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

/** Messages wait for the disk up to a timeout, and a restart continues from the persisted state. */
class RecoveryTest {
    private static final TableId TABLE = ControllerFixture.TABLE;

    /** Messages wait for the disk at most a tenth of the drain timeout, which is 2 s here. */
    private static final long DURABILITY_TIMEOUT_MILLIS = 200;

    private final ControllerFixture fixture = ControllerFixture.withRunningWallClock();

    @BeforeEach
    void start() throws SettingsException {
        start(StoreSnapshot.EMPTY, SettingsTest.VALID_SETTINGS);
    }

    private void start(StoreSnapshot persisted, String settings) throws SettingsException {
        fixture.start(persisted, settings);
        fixture.advanceMillis(20);
    }

    /** Restarts without a shutdown; entries that were not durable are lost. */
    private void restart(String settings) throws SettingsException {
        fixture.restart(settings);
        fixture.advanceMillis(20);
    }

    private MemoryLog log() {
        return fixture.log();
    }

    private static NodeId id(int node) {
        return ControllerFixture.id(node);
    }

    private void listNodes(int... ready) {
        fixture.listNodes(
                Arrays.stream(ready)
                        .mapToObj(node -> ControllerFixture.node(node, NodeState.READY))
                        .toList());
        fixture.advanceMillis(20);
    }

    private void runRound(Consumer<PolicyActions> actions) {
        fixture.runRound(actions, 20);
    }

    private void setWeights(double... weights) {
        runRound(
                actions -> {
                    for (int i = 0; i < weights.length; i++) {
                        actions.setWeight(TABLE, id(i), weights[i]);
                    }
                });
    }

    /** Joins a proxy that holds these versions, and subscribes all proxies again. */
    private AcknowledgingProxy joinAndSubscribe(String name, Frame.Holding... held) {
        AcknowledgingProxy proxy = new AcknowledgingProxy(fixture, name, List.of(held));
        runRound(
                actions -> {
                    for (int i = 0; i < fixture.status().proxies(); i++) {
                        actions.subscribe(new ProxyId(i), List.of(new MethodId(0)), TABLE);
                    }
                });
        fixture.advanceMillis(200);
        return proxy;
    }

    private ControllerStatus.Table table() {
        return fixture.state().table(TABLE).orElseThrow();
    }

    @Test
    void messageWaitsUntilItsLogEntriesAreDurable() {
        listNodes(0, 1);
        setWeights(1, 1);
        AcknowledgingProxy proxy = joinAndSubscribe("p");
        long before = proxy.messageCount();
        log().stall();
        setWeights(1, 0.7);
        fixture.advanceMillis(DURABILITY_TIMEOUT_MILLIS - 100);
        assertEquals(before, proxy.messageCount());
        log().makeDurable();
        fixture.advanceMillis(5);
        assertEquals(before + 1, proxy.messageCount());
        assertEquals(0, fixture.status().storage().unkeptMessages());
    }

    @Test
    void slowDiskDelaysMessagesOnceAndUpToTimeout() {
        listNodes(0, 1);
        setWeights(1, 1);
        AcknowledgingProxy proxy = joinAndSubscribe("p");
        long before = proxy.messageCount();
        log().stall();
        setWeights(1, 0.7);
        fixture.advanceMillis(DURABILITY_TIMEOUT_MILLIS + 20);
        assertEquals(before + 1, proxy.messageCount());
        assertTrue(fixture.status().storage().late());
        setWeights(1, 0.8);
        fixture.advanceMillis(40);
        assertEquals(before + 2, proxy.messageCount(), "the next message must not wait again");
        log().resume();
        log().makeDurable();
        setWeights(1, 0.9);
        fixture.advanceMillis(40);
        assertTrue(!fixture.status().storage().late());
        assertEquals(2, fixture.status().storage().unkeptMessages());
    }

    @Test
    void failedDiskDelaysNoMessage() {
        listNodes(0, 1);
        setWeights(1, 1);
        AcknowledgingProxy proxy = joinAndSubscribe("p");
        long before = proxy.messageCount();
        log().fail("No space left on device");
        setWeights(1, 0.7);
        fixture.advanceMillis(40);
        assertEquals(before + 1, proxy.messageCount());
        assertEquals("No space left on device", fixture.status().storage().trouble());
    }

    @Test
    void restartContinuesFromPersistedState() throws SettingsException {
        listNodes(0, 1, 2);
        setWeights(1, 1, 1);
        joinAndSubscribe("p");
        setWeights(1, 0.7, 1);
        long version = table().version();
        long versions = table().versions().size();
        restart(SettingsTest.VALID_SETTINGS);
        assertEquals(version, table().version());
        assertEquals(versions, table().versions().size());
        // Weights do not change until the list is known; then nodes no longer listed are removed.
        fixture.advanceMillis(500);
        assertEquals(3, table().lines().size());
        listNodes(0, 1);
        fixture.advanceMillis(50);
        assertEquals(2, table().lines().size());
        setWeights(1, 0.7);
        AcknowledgingProxy again = joinAndSubscribe("p", new Frame.Holding(TABLE, version));
        assertTrue(again.version(TABLE) >= version);
        assertEquals("NONE", table().held());
    }

    /**
     * Entries that a slow stream has not acknowledged count against the channel capacity: the
     * rollback sends no more until they are acknowledged, and then continues.
     */
    @Test
    void rollbackWaitsWhileMostAcknowledgementsAreOverdue() {
        listNodes(0, 1, 2);
        setWeights(1, 1, 1);
        AcknowledgingProxy proxy = joinAndSubscribe("p");
        long first = table().version();
        setWeights(0.5, 0.6, 0.7);
        fixture.advanceMillis(100);
        proxy.stopAcknowledging();
        for (int i = 0; i < 90; i++) {
            proxy.session()
                    .awaitAcknowledgement(
                            new ProxySession.UnacknowledgedMessage(
                                    1 + i, 1, -1, fixture.nowNanos(), 30, fixture.nowNanos()));
        }
        for (int i = 0; i < 8; i++) {
            fixture.advanceMillis(100);
            fixture.receive(proxy.session(), new Frame.KeepAlive(1, true));
        }
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, first));
        fixture.advanceMillis(200);
        assertEquals(
                0.5,
                fixture.status().tables().get(0).lines().get("n0"),
                "rollback must not start yet");
        proxy.session().acknowledge(90);
        assertEquals(0, proxy.session().unacknowledgedMessages());
        runRound(actions -> {});
        fixture.advanceMillis(100);
        assertEquals(1.0, fixture.status().tables().get(0).lines().get("n0"));
    }

    /**
     * A drain ends when its node leaves the list. A list that never contained the node does not end
     * the drain.
     */
    @Test
    void drainEndsWhenNodeIsNoLongerListed() {
        listNodes(0, 1);
        assertEquals(
                DrainResult.Kind.DONE,
                fixture.state()
                        .drain(fixture.nowNanos(), new DrainRequest("n1", true, "o", "c", -1, true))
                        .kind());
        fixture.state()
                .mergeDrains(
                        fixture.nowNanos(), List.of(new Drain(id(2), "n2", true, 9, "p", "d", 0)));
        listNodes(0, 1);
        assertEquals(List.of("n1", "n2"), drainedNodes());
        listNodes(0);
        assertEquals(List.of("n2"), drainedNodes());
        listNodes(0, 1, 2);
        assertEquals(List.of("n2"), drainedNodes());
        assertEquals(
                "DRAINING",
                fixture.status().nodes().stream()
                        .filter(n -> n.name().equals("n2"))
                        .findFirst()
                        .orElseThrow()
                        .state());
    }

    private List<String> drainedNodes() {
        return fixture.state().drains().stream()
                .filter(Drain::on)
                .map(Drain::name)
                .sorted()
                .toList();
    }

    @Test
    void pinsSurviveRestart() throws SettingsException {
        listNodes(0, 1, 2);
        setWeights(1, 1, 1);
        joinAndSubscribe("p");
        long first = table().version();
        setWeights(1, 0.5, 0.5);
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, first));
        fixture.advanceMillis(100);
        restart(SettingsTest.VALID_SETTINGS);
        listNodes(0, 1, 2);
        setWeights(0.2, 0.3, 1);
        joinAndSubscribe("p");
        assertEquals("PINNED", table().held());
        assertEquals(1.0, table().lines().get("n0"));
        assertEquals(TableActResult.DONE, fixture.release(TABLE));
        restart(SettingsTest.VALID_SETTINGS);
        assertEquals("RELEASING", table().held());
        listNodes(0, 1, 2);
        setWeights(0.2, 0.3, 1);
        fixture.advanceMillis(9000);
        assertEquals("NONE", table().held());
        assertEquals(0.3, table().lines().get("n1"));
    }

    /** The process is killed after a rollback was ordered and before its entries could be sent. */
    @Test
    void rollbackContinuesAfterRestart() throws SettingsException {
        listNodes(0, 1, 2);
        setWeights(1, 1, 1);
        long first = table().version();
        AcknowledgingProxy proxy = joinAndSubscribe("p");
        setWeights(0.5, 0.6, 0.7);
        // 40 recent messages exceed the limit of 30 per proxy, so the next message must wait.
        for (int i = 0; i < 40; i++) {
            proxy.session().recordMessageQueued(fixture.nowNanos());
        }
        assertEquals(TableActResult.DONE, fixture.rollback(TABLE, first));
        restart(SettingsTest.VALID_SETTINGS);
        assertEquals("PINNED", table().held());
        listNodes(0, 1, 2);
        fixture.advanceMillis(50);
        assertEquals(new TreeMap<>(Map.of("n0", 1.0, "n1", 1.0, "n2", 1.0)), table().lines());
    }

    @Test
    void versionsContinueAboveThoseHeldFromOtherController() {
        listNodes(0, 1);
        setWeights(1, 1);
        AcknowledgingProxy first = joinAndSubscribe("p");
        long low = first.version(TABLE);
        AcknowledgingProxy other =
                joinAndSubscribe(
                        "q", new Frame.Holding(TABLE, 5000), new Frame.Holding(new TableId(77), 9));
        assertTrue(other.version(TABLE) > 5000, "version " + other.version(TABLE));
        assertEquals(other.version(TABLE), first.version(TABLE));
        assertTrue(first.version(TABLE) > low);
        long raised = other.version(TABLE);
        AcknowledgingProxy third = joinAndSubscribe("r", new Frame.Holding(TABLE, 5100));
        assertEquals(
                raised,
                third.version(TABLE),
                "one jump must suffice for all proxies with the same past");
        joinAndSubscribe("s", new Frame.Holding(TABLE, Long.MAX_VALUE));
        assertEquals(
                raised,
                table().version(),
                "a version number above the possible maximum must be ignored");
        setWeights(1, 0.5);
        fixture.advanceMillis(50);
        assertEquals(raised + 1, first.version(TABLE));
        assertEquals(0, fixture.status().missedDeltas());
    }

    @Test
    void versionsStartAboveThoseHeldByProxiesIfNothingWasPersisted() throws SettingsException {
        start(StoreSnapshot.EMPTY, SettingsTest.VALID_SETTINGS);
        listNodes(0, 1);
        AcknowledgingProxy proxy =
                new AcknowledgingProxy(fixture, "p", List.of(new Frame.Holding(TABLE, 700)));
        runRound(
                actions -> {
                    actions.setWeight(TABLE, id(0), 1);
                    actions.subscribe(new ProxyId(0), List.of(new MethodId(0)), TABLE);
                });
        fixture.advanceMillis(100);
        assertTrue(proxy.version(TABLE) > 700);
    }

    /**
     * With other methods or zones a table number denotes another table, so that pins and old
     * versions no longer apply.
     */
    @Test
    void changedLayoutDropsPinsButKeepsVersionNumbers() throws SettingsException {
        listNodes(0, 1);
        setWeights(1, 1);
        joinAndSubscribe("p");
        setWeights(1, 0.5);
        fixture.pin(TABLE);
        long version = table().version();
        fixture.applySettings(
                SettingsTest.VALID_SETTINGS.replace("\"reportPeriod", "\"reportPeriod"));
        assertEquals("PINNED", table().held(), "the same settings must not drop the pin");
        restart(
                SettingsTest.VALID_SETTINGS.replaceFirst(
                        "\"zones\" *: *\\[\"a\"", "\"zones\":[\"z\",\"a\""));
        assertEquals("NONE", table().held());
        assertEquals(version, table().version());
        assertEquals(1, table().versions().size());
    }
}
