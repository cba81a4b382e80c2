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
 * A controller without threads and sockets, on a clock of the test's own, with a log in memory and
 * a policy that does what a test orders.
 */
final class ControllerFixture {
    static final long MILLI = 1_000_000L;
    static final long WALL_MILLIS = 1_700_000_000_000L;
    static final TableId TABLE = new TableId(1);

    private static final long STEP_NANOS = 5 * MILLI;
    private static final String HOST = "127.0.0.1";
    private static final int PORT = 80;

    private final RecordingEventHandler recorder = new RecordingEventHandler(this::nowNanos);
    private final boolean records;
    private final LongUnaryOperator wallMillis;
    private final ArrayDeque<Consumer<PolicyActions>> orders = new ArrayDeque<>();
    private Runnable afterStep = () -> {};
    private long nowNanos = 1_000_000 * MILLI;
    private MemoryLog log;
    private ControllerState state;

    private ControllerFixture(boolean records, LongUnaryOperator wallMillis) {
        this.records = records;
        this.wallMillis = wallMillis;
    }

    /** Its wall clock goes with the test's clock; nothing is recorded. */
    static ControllerFixture withRunningWallClock() {
        return new ControllerFixture(false, now -> WALL_MILLIS + now / MILLI);
    }

    /**
     * Has good settings and a wall clock that stands still; the policy's events from here on and
     * calls to the environment are recorded.
     */
    static ControllerFixture startedAndRecording() throws SettingsException {
        ControllerFixture fixture = new ControllerFixture(true, now -> WALL_MILLIS);
        fixture.start(StoreSnapshot.EMPTY, SettingsTest.VALID_SETTINGS);
        fixture.pass(20);
        fixture.recorder.events().clear();
        return fixture;
    }

    RecordingEventHandler recorder() {
        return recorder;
    }

    /** Called after each step of the clock. */
    void afterEachStep(Runnable action) {
        afterStep = action;
    }

    /** Starts as a process does that finds this on disk; the one before ends outright. */
    void start(StoreSnapshot persisted, String settings) throws SettingsException {
        orders.clear();
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

    /** Restarts from what is durable; all else is lost, and so are the streams. */
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

    /** Lets time pass in steps of 5 ms. */
    void pass(long millis) {
        for (long end = nowNanos + millis * MILLI; nowNanos < end; ) {
            nowNanos += STEP_NANOS;
            state.runDue(nowNanos);
            afterStep.run();
        }
    }

    /** Has the policy order this in its next round, and lets time pass. */
    void order(Consumer<PolicyActions> actions, long millis) {
        orders.add(actions);
        state.healthChecked(nowNanos, id(0), EventHandler.HealthCheckResult.PASSED);
        pass(millis);
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

    /** A frame comes from a proxy. */
    void receive(ProxySession session, Frame frame) {
        state.frameReceived(nowNanos, session, frame);
    }

    void list(List<ListedNode> nodes) {
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

    /** The node of this number, all at one port. */
    static ListedNode node(int node, EventHandler.NodeState nodeState) {
        return node("n" + node, PORT, nodeState, 0);
    }

    /** The node n, which tests list by itself. */
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

    private void record(String call) {
        if (records) {
            recorder.events().add(call);
        }
    }

    private final class ScriptedEnvironment implements ControllerState.Environment {
        @Override
        public Policy newPolicy(FleetSettings settings, long seed) {
            record("fresh planner");
            return (now, events, actions) -> {
                events.deliverTo(records ? recorder : new NoOpEventHandler());
                while (!orders.isEmpty()) {
                    orders.poll().accept(actions);
                }
            };
        }

        @Override
        public void checkHealth(ListedNode node) {
            record("probe " + node.name());
        }

        @Override
        public void watchNodes() {
            record("follow");
        }
    }
}
