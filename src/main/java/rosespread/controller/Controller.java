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
 * A running controller: one event-loop thread around a {@link ControllerState}, fed through a
 * lock-free queue by the I/O threads of the channel server and of the HTTP client. Nothing else
 * calls the state, and nothing blocks that thread.
 *
 * <p>Public methods may be called by any thread; those that need the event loop wait for it.
 */
public final class Controller implements AutoCloseable {
    /** Makes the policy: the routing policy, or in experiments something worse. */
    @FunctionalInterface
    public interface PolicyFactory {
        /**
         * Makes a policy for these settings.
         *
         * @param seed of its random numbers
         */
        Policy newPolicy(FleetSettings settings, long seed);
    }

    /** Makes the routing policy. */
    public static final PolicyFactory ROUTING_POLICY =
            (settings, seed) -> {
                RoutingPolicy policy =
                        new RoutingPolicy(settings.policySettings(), new SplittableRandom(seed));
                return policy::round;
            };

    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final long DURABILITY_TIMEOUT_NANOS =
            TimeUnit.SECONDS.toNanos(EventLoopCaller.TIMEOUT_SECONDS);

    /** How long a start waits for the drains of other controllers; a dead one must not block it. */
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
     * A controller that does nothing until it is started.
     *
     * @param name how it names itself to other services
     * @param folder where settings and tables are persisted; made if it is not there
     * @param policies makes its policy
     * @param validator checks the policy's changes of tables
     */
    public Controller(
            String name, Path folder, PolicyFactory policies, TableChangeValidator validator) {
        this.name = name;
        // The store wakes the event loop, as messages may wait for what is durable now.
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

    /** The event loop ended though nobody stopped it: proxies must not take us for alive. */
    private void eventLoopEnded() {
        LOG.error("event loop failed; closing the channel server");
        server.close();
    }

    /**
     * Restores what was persisted and listens for proxies. Without valid settings in the folder it
     * waits for {@link #apply}.
     *
     * @return the address that it listens on
     * @throws IOException if it cannot listen, or the folder is in use by another controller
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
     * What came of applying settings.
     *
     * @param done whether they hold now, or held since a call of the same id
     * @param inForce what holds now, empty before any settings
     */
    public record Applied(boolean done, Optional<SettingsFile.Saved> inForce) {}

    /**
     * Applies settings and saves them; they are applied as a whole or not at all. A call whose id
     * was seen last does nothing, nor does one against a revision that is not in force.
     *
     * @param by the operator
     * @param call the id of the call
     * @param revision the revision that the call is made against, negative for any
     * @throws SettingsException if they are at fault; nothing has changed then
     * @throws IOException if they could not be saved; nothing has changed then
     */
    public Applied apply(String text, String by, String call, long revision)
            throws SettingsException, IOException {
        return settings.apply(text, by, call, revision);
    }

    /** Drains that this controller missed must be known before proxies can dial. */
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

    /** What an operator may do with a table. */
    public enum TableAct {
        /** Go back to a retained version and stay there. */
        ROLLBACK,
        /** Stay at the committed version. */
        PIN,
        /** Follow the policy again, step by step. */
        RELEASE
    }

    /**
     * What came of an act on a table.
     *
     * @param why it could not be done; empty if it was done
     * @param kept whether it is durable, so that a restart knows of it
     */
    public record Outcome(String reason, boolean durable) {}

    /**
     * Acts on a table. Waits until the act is durable, unless the disk has a problem.
     *
     * @param version the one to roll back to; other acts ignore it
     * @throws IOException if the event loop does not take it up in time
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

    /** Returns a table as it will be once its pending changes are sent; empty if there is none. */
    public Optional<ControllerStatus.Table> table(int table) throws IOException {
        return eventLoop.call(now -> state.table(new TableId(table)));
    }

    /** Returns what changes from one retained version to another; empty if one is unknown. */
    public Optional<ControllerStatus.Difference> difference(int table, long from, long to)
            throws IOException {
        return eventLoop.call(now -> state.difference(new TableId(table), from, to));
    }

    /**
     * Drains a node or ends its drain. Waits until that is durable, unless the disk has a problem.
     */
    public DrainResult drain(DrainRequest call) throws IOException {
        Logged<DrainResult> logged = callLogged(now -> state.drain(now, call));
        awaitDurable(logged);
        return logged.result();
    }

    /** Returns the last drain or end of a drain of each node. */
    public List<Drain> drains() throws IOException {
        return eventLoop.call(now -> state.drains());
    }

    /** A result and the log entry that it has to wait for. */
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
     * Returns the status as it is now, or the last one that was read if the event loop does not
     * answer. It is gathered only when asked for, as it grows with the fleet.
     */
    public ControllerStatus state() {
        try {
            lastStatus = eventLoop.call(now -> state.status());
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("reason", e.getMessage())
                    .log("event loop did not answer; returning the last status");
        }
        return lastStatus;
    }

    /** Returns how it names itself. */
    public String name() {
        return name;
    }

    /** Returns the reports that were dropped as the event queue was too full. */
    public long reportsDropped() {
        return queue.droppedReports();
    }

    /** Returns why the settings' snapshot was refused; empty if it was not. */
    public String settingsFault() {
        return settings.problem();
    }

    /** Returns the settings in force as they were given. */
    public Optional<SettingsFile.Saved> settings() {
        return settings.inForce();
    }

    /** Tells proxies that it stops, and closes everything that it opened. */
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
