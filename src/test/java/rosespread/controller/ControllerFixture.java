package rosespread.controller;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;
import rosespread.api.EventHandler;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.discovery.ListedNode;
import rosespread.settings.FleetSettings;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsReader;
import rosespread.settings.SettingsTest;
import rosespread.store.StoreSnapshot;
import rosespread.validation.TableChangeValidator;

/**
 * A controller without threads and sockets, with a clock set by the test, an in-memory log and a
 * policy that performs the actions that a test gives it.
 */
final class ControllerFixture {
    static final long NANOS_PER_MILLI = 1_000_000L;
    static final long WALL_MILLIS = 1_700_000_000_000L;
    static final TableId TABLE = new TableId(1);

    private static final long STEP_NANOS = 5 * NANOS_PER_MILLI;
    private static final String HOST = "127.0.0.1";
    private static final int PORT = 80;

    private final RecordingEventHandler recorder = new RecordingEventHandler(this::nowNanos);
    private final boolean recordsEvents;
    private final LongUnaryOperator wallMillis;
    private final ArrayDeque<Consumer<PolicyActions>> pendingActions = new ArrayDeque<>();
    private Runnable afterStep = () -> {};
    private long nowNanos = 1_000_000 * NANOS_PER_MILLI;
    private MemoryLog log;
    private ControllerState state;

    private ControllerFixture(boolean recordsEvents, LongUnaryOperator wallMillis) {
        this.recordsEvents = recordsEvents;
        this.wallMillis = wallMillis;
    }

    /** Creates a fixture whose wall clock follows the test's clock and which records no events. */
    static ControllerFixture withRunningWallClock() {
        return new ControllerFixture(false, now -> WALL_MILLIS + now / NANOS_PER_MILLI);
    }

    /**
     * Creates a controller with valid settings and a fixed wall clock. The policy's events after
     * the start and the calls to the environment are recorded.
     */
    static ControllerFixture startedAndRecording() throws SettingsException {
        ControllerFixture fixture = new ControllerFixture(true, now -> WALL_MILLIS);
        fixture.start(StoreSnapshot.EMPTY, SettingsTest.VALID_SETTINGS);
        fixture.advanceMillis(20);
        fixture.recorder.events().clear();
        return fixture;
    }

    RecordingEventHandler recorder() {
        return recorder;
    }

    /** Sets an action that runs after each step of the clock. */
    void afterEachStep(Runnable action) {
        afterStep = action;
    }

    /**
     * Starts a controller that restores this snapshot; the previous one ends without a shutdown.
     */
    void start(StoreSnapshot persisted, String settings) throws SettingsException {
        pendingActions.clear();
        log = new MemoryLog(persisted);
        TableRegistry registry = new TableRegistry(log);
        registry.restore(persisted);
        state =
                new ControllerState(
                        new ScriptedEnvironment(),
                        new TableChangeValidator(),
                        registry,
                        () -> wallMillis.applyAsLong(nowNanos));
        applySettings(settings);
    }

    /** Restarts from the durable entries; all other entries and the streams are lost. */
    void restart(String settings) throws SettingsException {
        start(log.persisted(), settings);
    }

    void applySettings(String settings) throws SettingsException {
        state.applySettings(nowNanos, SettingsReader.read(settings));
    }

    ControllerState state() {
        return state;
    }

    ControllerStatus status() {
        return state.status();
    }

    MemoryLog log() {
        return log;
    }

    long nowNanos() {
        return nowNanos;
    }

    /** Advances the clock in steps of 5 ms. */
    void advanceMillis(long millis) {
        for (long end = nowNanos + millis * NANOS_PER_MILLI; nowNanos < end; ) {
            nowNanos += STEP_NANOS;
            state.runDue(nowNanos);
            afterStep.run();
        }
    }

    /** Has the policy perform these actions in its next round, and advances the clock. */
    void runRound(Consumer<PolicyActions> actions, long millis) {
        pendingActions.add(actions);
        state.healthChecked(nowNanos, id(0), EventHandler.HealthCheckResult.PASSED);
        advanceMillis(millis);
    }

    /** Opens a session and joins. */
    ProxySession join(ProxySession.Transport transport, Frame.Join join) {
        ProxySession session = state.sessionOpened(nowNanos, transport);
        receive(session, new Frame.Hello(Frame.VERSION, join.proxy(), List.of()));
        receive(session, join);
        return session;
    }

    /** Opens a session and joins as a proxy of this name that holds no tables. */
    ProxySession join(ProxySession.Transport transport, String name) {
        return join(transport, new Frame.Join(name, "a", 5));
    }

    /** Handles a frame from a proxy. */
    void receive(ProxySession session, Frame frame) {
        state.frameReceived(nowNanos, session, frame);
    }

    void listNodes(List<ListedNode> nodes) {
        state.nodesListed(nowNanos, nodes);
    }

    TableActResult rollback(TableId table, long version) {
        return state.rollback(nowNanos, table, version);
    }

    TableActResult release(TableId table) {
        return state.release(nowNanos, table);
    }

    TableActResult pin(TableId table) {
        return state.pin(nowNanos, table);
    }

    static NodeId id(int node) {
        return ListedNode.id("n" + node, HOST, PORT);
    }

    /** Returns the node of this number; all such nodes have the same port. */
    static ListedNode node(int node, EventHandler.NodeState nodeState) {
        return node("n" + node, PORT, nodeState, 0);
    }

    /** Returns the node n, which tests list as the only node. */
    static ListedNode singleNode(EventHandler.NodeState nodeState, long startedMillis) {
        return node("n", PORT, nodeState, startedMillis);
    }

    static ListedNode node(
            String name, int port, EventHandler.NodeState nodeState, long startedMillis) {
        return new ListedNode(
                ListedNode.id(name, HOST, port),
                name,
                HOST,
                port,
                "a",
                "k",
                1,
                nodeState,
                startedMillis);
    }

    private void recordCall(String call) {
        if (recordsEvents) {
            recorder.events().add(call);
        }
    }

    private final class ScriptedEnvironment implements ControllerState.Environment {
        @Override
        public Policy newPolicy(FleetSettings settings, long seed) {
            recordCall("new policy");
            return (now, events, actions) -> {
                events.deliverTo(recordsEvents ? recorder : new NoOpEventHandler());
                while (!pendingActions.isEmpty()) {
                    pendingActions.poll().accept(actions);
                }
            };
        }

        @Override
        public void checkHealth(ListedNode node) {
            recordCall("start health check of " + node.name());
        }

        @Override
        public void watchNodes() {
            recordCall("watch nodes");
        }
    }
}
