package rosespread.controller;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.LongSupplier;
import rosespread.api.EventHandler;
import rosespread.api.NodeId;
import rosespread.api.TableId;
import rosespread.channel.Frame;
import rosespread.discovery.ListedNode;
import rosespread.drain.Drain;
import rosespread.eventloop.RoundScheduler;
import rosespread.settings.FleetSettings;
import rosespread.store.TableLog;
import rosespread.validation.TableChangeValidator;

/**
 * The controller without its threads and sockets: passes events to the routing policy and carries
 * out the policy's actions as requested. It makes no routing decisions itself.
 *
 * <p>All methods are called on the event-loop thread, with the time by {@link System#nanoTime()},
 * so that a test can drive a controller with its own clock.
 */
public final class ControllerState {
    /**
     * Creates policies and reaches nodes and discovery. Called on the event-loop thread; no method
     * may block.
     */
    public interface Environment {
        /**
         * Creates a policy, which replaces the former one.
         *
         * @param seed the seed of the policy's random numbers
         */
        Policy newPolicy(FleetSettings settings, long seed);

        /** Starts a health check; its result is passed to {@link ControllerState#healthChecked}. */
        void checkHealth(ListedNode node);

        /**
         * Starts to watch discovery's node list; each list is passed to {@link
         * ControllerState#nodesListed}.
         */
        void watchNodes();
    }

    private static final TableActResult NO_SETTINGS =
            new TableActResult.Rejected(TableActResult.Reason.NO_SETTINGS, "no settings yet");

    private final EventClock clock;
    private final RoundScheduler rounds = new RoundScheduler();
    private final FleetNames names = new FleetNames();
    private final TableRegistry registry;
    private final SessionRegistry sessions;
    private final NodeFacts facts;
    private final PolicyRunner policyRunner;
    private final NodeListHandler nodeList;
    private final ProxyFrameHandler frames;
    private final KeepAliveMonitor keepAlives;
    private final DrainHandler drains;
    private final TableStatusReader tables;
    private final ControllerStatusReader status;

    /**
     * Creates a controller that waits for its settings.
     *
     * @param registry the committed tables and drains; to be restored before the first settings
     * @param wallClockMillis the wall clock, for times that are persisted or shown to operators
     */
    public ControllerState(
            Environment environment,
            TableChangeValidator validator,
            TableRegistry registry,
            LongSupplier wallClockMillis) {
        this.registry = registry;
        this.clock = new EventClock(wallClockMillis);
        this.sessions = new SessionRegistry(rounds);
        NodeDirectory directory = new NodeDirectory();
        LoopContext context =
                new LoopContext(
                        clock, rounds, new ControllerCounters(), new ModeLog(directory::nameOf));
        NodeStartTimes startTimes = new NodeStartTimes(clock);
        NodeListPublisher publisher = new NodeListPublisher(directory, startTimes, names, rounds);
        this.facts = new NodeFacts(directory, startTimes, names, clock);
        TableUpdateWriter.Context writerContext =
                new TableUpdateWriter.Context(
                        sessions.joined(),
                        directory.known(),
                        registry,
                        validator,
                        facts,
                        new PolicyEffects(environment, directory, rounds, clock),
                        context.modes());
        this.policyRunner =
                new PolicyRunner(
                        environment, writerContext, sessions, directory, publisher, rounds, clock);
        this.nodeList =
                new NodeListHandler(directory, facts, publisher, registry, policyRunner, context);
        this.frames =
                new ProxyFrameHandler(
                        sessions,
                        new SessionHandshake(sessions, policyRunner, registry, names, context),
                        new LoadReportHandler(policyRunner, directory, facts, context),
                        policyRunner,
                        context);
        this.keepAlives = new KeepAliveMonitor(sessions, context.counters());
        this.drains = new DrainHandler(registry, directory, nodeList, policyRunner, clock);
        this.tables = new TableStatusReader(registry, directory.known());
        this.status =
                new ControllerStatusReader(
                        policyRunner, sessions, directory, nodeList, registry, tables, context);
    }

    /**
     * Applies settings as a whole. Numbers of methods, zones and tables may change their meaning,
     * so all streams are closed and the policy is restarted.
     */
    public void applySettings(long nowNanos, FleetSettings settings) {
        clock.advanceTo(nowNanos);
        names.applySettings(settings);
        facts.applySettings(settings);
        registry.setLayout(FleetNames.layoutDigest(settings));
        policyRunner.restart(settings, "settings were applied");
    }

    /** Handles that a stream was opened; returns its session. */
    public ProxySession sessionOpened(long nowNanos, ProxySession.Transport transport) {
        clock.advanceTo(nowNanos);
        return sessions.open(transport, nowNanos);
    }

    /** Handles a received frame. */
    public void frameReceived(long nowNanos, ProxySession session, Frame frame) {
        clock.advanceTo(nowNanos);
        frames.frameReceived(session, frame);
    }

    /** Handles that the stream closed or broke, possibly some time ago. */
    public void sessionClosed(long nowNanos, ProxySession session) {
        clock.advanceTo(nowNanos);
        sessions.closedByPeer(session);
    }

    /** Closes a session whose stream brought bytes that violate the protocol. */
    public void protocolViolated(
            long nowNanos, ProxySession session, Frame.Reason reason, String text) {
        clock.advanceTo(nowNanos);
        sessions.close(session, reason, text);
    }

    /** Handles a complete list of nodes from discovery. */
    public void nodesListed(long nowNanos, List<ListedNode> nodes) {
        clock.advanceTo(nowNanos);
        nodeList.nodesListed(nodes);
    }

    /** Handles that discovery has no node list; the last list stays in use. */
    public void nodeListUnavailable(long nowNanos, String reason) {
        clock.advanceTo(nowNanos);
        nodeList.unavailable(reason);
    }

    /** Handles the result of a health check. */
    public void healthChecked(long nowNanos, NodeId node, EventHandler.HealthCheckResult result) {
        clock.advanceTo(nowNanos);
        rounds.add(policy -> policy.healthChecked(node, result));
    }

    /**
     * Runs all work that is due: a round, a snapshot of the log, queued messages and keep-alives.
     *
     * @return when to call it again, by {@link System#nanoTime()}; {@link Long#MAX_VALUE} before
     *     any settings
     */
    public long runDue(long nowNanos) {
        clock.advanceTo(nowNanos);
        Optional<FleetSettings> settings = policyRunner.settings();
        if (settings.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long nextRound = policyRunner.runDue();
        TableLog log = registry.log();
        if (log.needsSnapshot()) {
            log.writeSnapshot(registry.snapshot());
        }
        long nextMessage = policyRunner.channel().orElseThrow().sendDue(nowNanos);
        long nextKeepAlive = keepAlives.check(nowNanos, settings.get().channel().keepAliveNanos());
        return Math.min(nextRound, Math.min(nextMessage, nextKeepAlive));
    }

    /** Tells all proxies that the controller stops, and closes their streams. */
    public void stop(long nowNanos) {
        clock.advanceTo(nowNanos);
        sessions.closeAll(Frame.Reason.STOPPING, "the controller is stopping");
    }

    /** Returns the status as of the last event. */
    public ControllerStatus status() {
        return status.read();
    }

    /** Returns a table as it will be once its pending changes are sent; empty if unknown. */
    public Optional<ControllerStatus.Table> table(TableId table) {
        return tables.read(table);
    }

    /** Returns the changes between two retained versions; empty if table or version is unknown. */
    public Optional<ControllerStatus.Difference> difference(TableId table, long from, long to) {
        return tables.difference(table, from, to);
    }

    /** Drains a node or ends its drain at an operator's request. */
    public DrainResult drain(long nowNanos, DrainRequest request) {
        clock.advanceTo(nowNanos);
        return drains.drain(request);
    }

    /** Applies drains received from another controller; returns how many changed anything. */
    public int mergeDrains(long nowNanos, List<Drain> peerDrains) {
        clock.advanceTo(nowNanos);
        return drains.merge(peerDrains);
    }

    /** Returns the latest drain, or end of a drain, of each node. */
    public List<Drain> drains() {
        return drains.drains();
    }

    /** Pins a table to the weights of a retained version, see {@link TableOperations}. */
    public TableActResult rollback(long nowNanos, TableId table, long version) {
        return perform(nowNanos, writer -> writer.rollback(table, version, clock.roundTime()));
    }

    /** Pins a table to its committed weights. */
    public TableActResult pin(long nowNanos, TableId table) {
        return perform(nowNanos, writer -> writer.pin(table));
    }

    /**
     * Unpins a table: its weights change in steps to those that the policy desires, and then follow
     * the policy.
     */
    public TableActResult release(long nowNanos, TableId table) {
        return perform(nowNanos, writer -> writer.release(table));
    }

    private TableActResult perform(long nowNanos, Function<TableUpdateWriter, TableActResult> act) {
        clock.advanceTo(nowNanos);
        return policyRunner.writer().map(act).orElse(NO_SETTINGS);
    }
}
