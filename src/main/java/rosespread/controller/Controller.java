package rosespread.controller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.TableId;
import rosespread.discovery.ListedNode;
import rosespread.drain.Drain;
import rosespread.eventloop.EventLoop;
import rosespread.eventloop.EventQueue;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;
import rosespread.policy.RoutingPolicy;
import rosespread.settings.FleetSettings;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsFile;
import rosespread.store.LogOutput;
import rosespread.store.TableStore;
import rosespread.validation.TableChangeValidator;

/**
 * A running controller: one event-loop thread that owns a {@link ControllerState}. The I/O threads
 * of the channel server and of the HTTP client add events to its lock-free queue. No other thread
 * calls the state, and nothing blocks the event-loop thread.
 *
 * <p>Public methods may be called by any thread; those that need the event loop wait for it.
 */
public final class Controller implements AutoCloseable {
    /** Creates the policy: the routing policy, or a deliberately worse one in experiments. */
    @FunctionalInterface
    public interface PolicyFactory {
        /**
         * Creates a policy for these settings.
         *
         * @param seed the seed of the policy's random numbers
         */
        Policy newPolicy(FleetSettings settings, long seed);
    }

    /** Creates the routing policy. */
    public static final PolicyFactory ROUTING_POLICY =
            (settings, seed) -> {
                RoutingPolicy policy =
                        new RoutingPolicy(settings.policySettings(), new SplittableRandom(seed));
                return policy::round;
            };

    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final long DURABILITY_TIMEOUT_NANOS =
            TimeUnit.SECONDS.toNanos(EventLoopCaller.TIMEOUT_SECONDS);

    /**
     * Maximum time to wait at startup for the other controllers to report their drains, so that a
     * controller that is down does not block the start.
     */
    private static final long PEER_TIMEOUT_NANOS = 500_000_000L;

    private static final int CHANNEL_THREADS = 2;
    private static final int HTTP_THREADS = 1;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int IDLE_TIMEOUT_SECONDS = 10;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final String name;
    private final EventQueue queue = new EventQueue();
    private final EventLoopCaller eventLoop = new EventLoopCaller(queue);
    private final TableStore store;
    private final TableRegistry registry;
    private final ControllerState state;
    private final ChannelServer server;
    private final ScheduledExecutorService timer = newTimer();
    private final HttpClient http =
            new HttpClient(
                    HTTP_THREADS, HttpLimits.LARGE, CONNECT_TIMEOUT_MILLIS, IDLE_TIMEOUT_SECONDS);
    private final NodeClients nodeClients;
    private final PeerDrainPoller peers;
    private final SettingsHolder settings;
    private final EventLoop loop;
    private final Thread thread;
    private volatile ControllerStatus lastStatus;
    private volatile boolean listening;

    /**
     * Creates a controller that does nothing until it is started.
     *
     * @param name the name that the controller gives itself towards other services
     * @param folder the folder of the persisted settings and tables; created if it does not exist
     * @param policies creates the policy
     * @param validator validates the policy's changes of tables
     */
    public Controller(
            String name, Path folder, PolicyFactory policies, TableChangeValidator validator) {
        this.name = name;
        // The store wakes the event loop, as messages may wait for entries that are durable now.
        this.store =
                new TableStore(
                        folder,
                        LogOutput.DISK,
                        System::currentTimeMillis,
                        () -> queue.put(now -> {}));
        this.registry = new TableRegistry(store);
        this.state =
                new ControllerState(
                        new ClientEnvironment(policies),
                        validator,
                        registry,
                        System::currentTimeMillis);
        this.lastStatus = state.status();
        this.server = new ChannelServer(CHANNEL_THREADS, queue, state);
        this.nodeClients = new NodeClients(name, http, timer, queue, state);
        this.peers =
                new PeerDrainPoller(
                        http, timer, drains -> queue.put(now -> state.mergeDrains(now, drains)));
        this.settings = new SettingsHolder(folder, this::applySettings);
        this.loop = new EventLoop(queue, state::runDue, this::eventLoopEnded);
        this.thread = new Thread(this::runEventLoop, "event-loop");
    }

    private static ScheduledExecutorService newTimer() {
        return Executors.newSingleThreadScheduledExecutor(
                task -> {
                    Thread thread = new Thread(task, "controller-timer");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    private void runEventLoop() {
        loop.run();
        state.stop(System.nanoTime());
        queue.close();
    }

    /**
     * Closes the channel server after the event loop ended without being stopped, so that proxies
     * do not take this controller for alive.
     */
    private void eventLoopEnded() {
        LOG.error("event loop failed; closing the channel server");
        server.close();
    }

    /**
     * Restores the persisted state and starts to listen for proxies. Without valid settings in the
     * folder, the controller waits for {@link #apply}.
     *
     * @return the address that the controller listens on
     * @throws IOException if the address cannot be bound, or the folder is in use by another
     *     controller
     */
    public InetSocketAddress start(InetSocketAddress address) throws IOException {
        registry.restore(store.open());
        lastStatus = state.status();
        thread.start();
        settings.restore();
        InetSocketAddress bound = server.listen(address);
        listening = true;
        LOG.atInfo().addKeyValue("address", bound).log("listening for proxies");
        return bound;
    }

    /**
     * Result of a request to apply settings.
     *
     * @param done whether the settings are in force, by this request or an earlier one of its id
     * @param inForce the settings in force, empty before any settings
     */
    public record Applied(boolean done, Optional<SettingsFile.Saved> inForce) {}

    /**
     * Applies settings and saves them; they are applied as a whole or not at all. Nothing changes
     * if the settings in force have the same request id, or another revision than expected.
     *
     * @param operator the operator who made the request
     * @param requestId the id of the request
     * @param expectedRevision the revision that the request is based on, negative for any
     * @throws SettingsException if the settings are invalid; nothing has changed then
     * @throws IOException if the settings could not be saved; nothing has changed then
     */
    public Applied apply(String text, String operator, String requestId, long expectedRevision)
            throws SettingsException, IOException {
        return settings.apply(text, operator, requestId, expectedRevision);
    }

    /**
     * Applies settings, then polls peers for drains that this controller missed. At startup this
     * method waits for the peers' drains up to {@link #PEER_TIMEOUT_NANOS}, as drains must be known
     * before proxies can connect.
     */
    private void applySettings(FleetSettings next) {
        applyOnEventLoop(next);
        peers.poll(listening ? 0 : PEER_TIMEOUT_NANOS);
    }

    private void applyOnEventLoop(FleetSettings next) {
        eventLoop.run(
                now -> {
                    nodeClients.applySettings(next);
                    state.applySettings(now, next);
                    peers.setPeers(next.peers());
                    if (!next.discovery().onDemand()) {
                        nodeClients.watchNodes();
                    }
                });
    }

    /** An operator's act on a table. */
    public enum TableAct {
        /** Returns the table to a retained version and pins it there. */
        ROLLBACK,
        /** Pins the table at the committed version. */
        PIN,
        /**
         * Unpins the table: its weights change in steps to those that the policy desires, and then
         * follow the policy.
         */
        RELEASE
    }

    /**
     * Result of an act on a table.
     *
     * @param reason why the act was rejected; empty if it was done
     * @param durable whether the act is on disk and will be restored after a restart
     */
    public record Outcome(String reason, boolean durable) {}

    /**
     * Performs an act on a table. Waits until the act is durable, unless the disk has a problem.
     *
     * @param version the version to roll back to; ignored by other acts
     * @throws IOException if the event loop does not run the act within the time limit of {@link
     *     EventLoopCaller}
     */
    public Outcome act(TableAct act, int table, long version) throws IOException {
        TableId id = new TableId(table);
        Logged<TableActResult> logged =
                callLogged(
                        now ->
                                switch (act) {
                                    case ROLLBACK -> state.rollback(now, id, version);
                                    case PIN -> state.pin(now, id);
                                    case RELEASE -> state.release(now, id);
                                });
        if (logged.result() instanceof TableActResult.Rejected rejected) {
            return new Outcome(rejected.detail(), false);
        }
        return new Outcome("", awaitDurable(logged));
    }

    /** Returns a table as it will be once its pending changes are sent; empty if unknown. */
    public Optional<ControllerStatus.Table> table(int table) throws IOException {
        return eventLoop.call(now -> state.table(new TableId(table)));
    }

    /** Returns the changes between two retained versions; empty if table or version is unknown. */
    public Optional<ControllerStatus.Difference> difference(int table, long from, long to)
            throws IOException {
        return eventLoop.call(now -> state.difference(new TableId(table), from, to));
    }

    /**
     * Drains a node or ends its drain. Waits until the drain or its end is durable, unless the disk
     * has a problem.
     */
    public DrainResult drain(DrainRequest request) throws IOException {
        Logged<DrainResult> logged = callLogged(now -> state.drain(now, request));
        awaitDurable(logged);
        return logged.result();
    }

    /** Returns the latest drain, or end of a drain, of each node. */
    public List<Drain> drains() throws IOException {
        return eventLoop.call(now -> state.drains());
    }

    /**
     * The result of an operator's request, and the sequence number up to which the log must be
     * durable for the request to be durable.
     */
    private record Logged<T>(T result, long sequence) {}

    private <T> Logged<T> callLogged(LongFunction<T> call) throws IOException {
        return eventLoop.call(
                now -> {
                    T result = call.apply(now);
                    return new Logged<>(result, registry.lastSequence());
                });
    }

    private boolean awaitDurable(Logged<?> logged) {
        return store.await(logged.sequence(), DURABILITY_TIMEOUT_NANOS);
    }

    /**
     * Returns the current status, or the last status read if the event loop does not answer within
     * the time limit of {@link EventLoopCaller}. The status is gathered on request only, as its
     * cost grows with the fleet.
     */
    public ControllerStatus status() {
        try {
            lastStatus = eventLoop.call(now -> state.status());
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("reason", e.getMessage())
                    .log("event loop did not answer; returning the last status");
        }
        return lastStatus;
    }

    /** Returns the name that the controller gives itself towards other services. */
    public String name() {
        return name;
    }

    /** Returns the number of reports dropped because the event queue was too full. */
    public long reportsDropped() {
        return queue.droppedReports();
    }

    /**
     * Returns why the settings snapshot was refused; empty if it was not or settings were applied
     * since.
     */
    public String settingsFault() {
        return settings.problem();
    }

    /** Returns the settings in force as they were given, empty before any. */
    public Optional<SettingsFile.Saved> settings() {
        return settings.inForce();
    }

    /** Tells proxies that the controller stops, and closes all sockets, threads and files. */
    @Override
    public void close() {
        loop.stop();
        try {
            thread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        server.close();
        http.close();
        timer.shutdownNow();
        try {
            store.close();
        } catch (IOException e) {
            LOG.atError().setCause(e).log("table log could not be closed");
        }
    }

    private final class ClientEnvironment implements ControllerState.Environment {
        private final PolicyFactory policies;

        ClientEnvironment(PolicyFactory policies) {
            this.policies = policies;
        }

        @Override
        public Policy newPolicy(FleetSettings settings, long seed) {
            return policies.newPolicy(settings, seed);
        }

        @Override
        public void checkHealth(ListedNode node) {
            nodeClients.checkHealth(node);
        }

        @Override
        public void watchNodes() {
            nodeClients.watchNodes();
        }
    }
}
