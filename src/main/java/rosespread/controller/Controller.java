package rosespread.controller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.TableId;
import rosespread.discovery.HealthChecker;
import rosespread.discovery.ListedNode;
import rosespread.discovery.NodeListClient;
import rosespread.drain.Drain;
import rosespread.eventloop.EventLoop;
import rosespread.eventloop.EventQueue;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;
import rosespread.policy.RoutingPolicy;
import rosespread.settings.FleetSettings;
import rosespread.settings.SettingsException;
import rosespread.settings.SettingsReader;
import rosespread.settings.SettingsFile;
import rosespread.store.LogOutput;
import rosespread.store.TableStore;
import rosespread.validation.TableChangeValidator;

/**
 * The running conductor: one decision thread round a {@link ControllerState}, fed through a
 * lock-free inbox by MINA's I/O threads. Nothing else calls the core, and nothing blocks that
 * thread.
 */
public final class Controller implements AutoCloseable {
    /** Makes the planner; the module by default, something worse in experiments. */
    @FunctionalInterface
    public interface PolicyFactory {
        Policy newPolicy(FleetSettings settings, long seed);
    }

    public static final PolicyFactory ROUTING_POLICY =
            (settings, seed) -> {
                RoutingPolicy brain =
                        new RoutingPolicy(settings.policySettings(), new SplittableRandom(seed));
                return brain::round;
            };

    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final long ACT_SECONDS = 2;

    /**
     * How long a start waits for what other conductors know; a dead one must not hold it up for
     * long.
     */
    private static final long PEERS_NANOS = 500_000_000L;

    private static final int CONNECT_MILLIS = 500;
    private static final int IDLE_SECONDS = 10;

    private final String name;
    private final PolicyFactory planning;
    private final SettingsFile snapshot;
    private final EventQueue inbox = new EventQueue();
    private final TableStore store;
    private final TableRegistry book;
    private final ControllerState core;
    private final ChannelServer server;
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "conductor-timer");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final HttpClient http =
            new HttpClient(1, HttpLimits.LARGE, CONNECT_MILLIS, IDLE_SECONDS);
    private final PeerDrains peers;
    private final Thread thread;
    private final EventLoop loop;
    private volatile ControllerStatus state;
    private volatile String settingsTrouble = "";
    private volatile SettingsFile.Saved inForce;
    private NodeListClient list;
    private HealthChecker prober;

    /**
     * @param folder where the snapshot of the settings is; made if it is not there
     */
    public Controller(String name, Path folder, PolicyFactory planning, TableChangeValidator gate) {
        this.name = name;
        this.planning = planning;
        this.snapshot = new SettingsFile(folder);
        // The store wakes the decision thread, as messages may wait for what is now kept.
        this.store =
                new TableStore(
                        folder,
                        LogOutput.DISK,
                        System::currentTimeMillis,
                        () -> inbox.put(now -> {}));
        this.book = new TableRegistry(store);
        this.core = new ControllerState(new Outside(), gate, book, System::currentTimeMillis);
        this.server = new ChannelServer(2, inbox, core);
        this.state = core.state();
        this.peers = new PeerDrains(http, timer, words -> inbox.put(now -> core.hear(now, words)));
        this.loop = new EventLoop(inbox, core::runDue, this::undecided);
        this.thread =
                new Thread(
                        () -> {
                            loop.run();
                            core.stop(System.nanoTime());
                            inbox.close();
                        },
                        "decisions");
    }

    /** Nobody decides any more: proxies must not take it for alive. */
    private void undecided() {
        LOG.error("the decision thread ended: no proxy is listened to any more");
        server.close();
    }

    /**
     * Starts and listens for proxies; returns the address. Takes the settings saved last, if they
     * are whole.
     */
    public InetSocketAddress start(InetSocketAddress address) throws IOException {
        book.restore(store.open());
        state = core.state();
        thread.start();
        try {
            Optional<SettingsFile.Saved> saved = snapshot.load();
            if (saved.isPresent()) {
                FleetSettings settings = SettingsReader.read(saved.get().json());
                inForce = saved.get();
                take(settings);
                peers.pull(PEERS_NANOS);
                LOG.info("settings taken from the snapshot");
            } else {
                LOG.info("waiting for settings");
            }
        } catch (IOException | SettingsException e) {
            settingsTrouble = "snapshot refused: " + e.getMessage();
            LOG.error("waiting for settings; {}", settingsTrouble);
        }
        InetSocketAddress bound = server.listen(address);
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
     * Applies settings and saves them; they hold as a whole or not at all. Those of a call that was
     * made before do nothing, nor those made against another revision than the one in force
     * (negative: any).
     *
     * @throws SettingsException if they are at fault; nothing has changed then
     * @throws IOException if they could not be saved; nothing has changed then
     */
    public synchronized Applied apply(String text, String by, String call, long revision)
            throws SettingsException, IOException {
        long known = inForce == null ? 0 : inForce.revision();
        if (inForce != null && inForce.requestId().equals(call)) {
            return new Applied(true, Optional.of(inForce));
        }
        FleetSettings settings = SettingsReader.read(text);
        if (revision >= 0 && revision != known) {
            return new Applied(false, Optional.ofNullable(inForce));
        }
        SettingsFile.Saved next =
                new SettingsFile.Saved(text, known + 1, by, call, System.currentTimeMillis());
        Optional<Path> aside = snapshot.save(next);
        aside.ifPresent(path -> LOG.warn("the damaged snapshot was set aside as {}", path));
        settingsTrouble = "";
        inForce = next;
        take(settings);
        peers.pull(0);
        LOG.atInfo()
                .addKeyValue("revision", next.revision())
                .addKeyValue("by", by)
                .log("settings applied and saved");
        return new Applied(true, Optional.of(next));
    }

    private void take(FleetSettings settings) {
        CompletableFuture<Void> taken = new CompletableFuture<>();
        inbox.put(
                now -> {
                    if (list != null) {
                        list.close();
                    }
                    FleetSettings.Discovery at = settings.discovery();
                    prober =
                            new HealthChecker(
                                    http, settings.healthChecks().path(), settings.healthChecks().timeoutNanos());
                    list =
                            new NodeListClient(
                                    http,
                                    new InetSocketAddress(at.host(), at.port()),
                                    at.service(),
                                    "rosespread/" + name,
                                    at.blockingWaitNanos(),
                                    at.responseTimeoutNanos(),
                                    at.indexRollbackGraceNanos(),
                                    at.onDemand(),
                                    timer,
                                    System::nanoTime,
                                    new SplittableRandom(settings.seed() ^ name.hashCode()),
                                    new ListEars());
                    core.apply(now, settings);
                    peers.follow(settings.peers());
                    if (!at.onDemand()) {
                        list.start();
                    }
                    taken.complete(null);
                });
        taken.join();
    }

    /** What an operator may do with a table. */
    public enum TableAct {
        ROLLBACK,
        PIN,
        RELEASE
    }

    /**
     * What came of an act.
     *
     * @param why it could not be; empty if it was done
     * @param kept whether it is on the disk, so that a restart knows of it
     */
    public record Outcome(String why, boolean kept) {}

    /**
     * Acts on a table; {@code version} is the one to go back to. Waits until the act is kept, as
     * long as the disk has no trouble.
     *
     * @throws IOException if the decision thread does not take it up in time
     */
    public Outcome act(TableAct act, int table, long version) throws IOException {
        TableId id = new TableId(table);
        long[] last = new long[1];
        String why =
                decide(
                        now -> {
                            String told =
                                    switch (act) {
                                        case ROLLBACK -> core.rollback(now, id, version);
                                        case PIN -> core.pin(now, id);
                                        case RELEASE -> core.release(now, id);
                                    };
                            last[0] = book.last();
                            return told;
                        });
        return new Outcome(
                why, why.isEmpty() && store.await(last[0], ACT_SECONDS * 1_000_000_000L));
    }

    /** A table as it is at this moment, with what it still has to send. */
    public Optional<ControllerStatus.Table> table(int table) throws IOException {
        return decide(now -> core.table(new TableId(table)));
    }

    /** What changes from one kept version of a table to another. */
    public Optional<ControllerStatus.Difference> difference(int table, long from, long to)
            throws IOException {
        return decide(now -> core.difference(new TableId(table), from, to));
    }

    /** Takes a call on a node up; waits until it is kept as long as the disk has no trouble. */
    public DrainResult drain(DrainRequest call) throws IOException {
        long[] last = new long[1];
        DrainResult outcome =
                decide(
                        now -> {
                            DrainResult told = core.drain(now, call);
                            last[0] = book.last();
                            return told;
                        });
        store.await(last[0], ACT_SECONDS * 1_000_000_000L);
        return outcome;
    }

    /** Operators' last words on nodes, and the revision that they come to. */
    public List<Drain> drains() throws IOException {
        return decide(now -> core.drains());
    }

    private <T> T decide(LongFunction<T> what) throws IOException {
        CompletableFuture<T> done = new CompletableFuture<>();
        inbox.put(now -> done.complete(what.apply(now)));
        try {
            return done.get(ACT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException(
                    "the conductor did not take it up within " + ACT_SECONDS + " s", e);
        }
    }

    /**
     * The state as it is now; that of the last time it was asked for if the decision thread does
     * not answer. It is gathered only when asked for, as it grows with the fleet.
     */
    public ControllerStatus state() {
        try {
            state = decide(now -> core.state());
        } catch (IOException e) {
            LOG.warn("an older state is shown: {}", e.getMessage());
        }
        return state;
    }

    /** How it calls itself. */
    public String name() {
        return name;
    }

    public long reportsDropped() {
        return inbox.droppedReports();
    }

    /** Why a snapshot was refused; empty if none was. */
    public String settingsTrouble() {
        return settingsTrouble;
    }

    /** The settings in force as they were given. */
    public Optional<SettingsFile.Saved> settings() {
        return Optional.ofNullable(inForce);
    }

    @Override
    public void close() {
        loop.stop();
        try {
            thread.join(2_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        server.close();
        http.close();
        timer.shutdownNow();
        try {
            store.close();
        } catch (IOException e) {
            LOG.error("the tables' file could not be closed: {}", e.toString());
        }
    }

    private final class ListEars implements NodeListClient.Listener {
        @Override
        public void nodeListReceived(List<ListedNode> nodes) {
            inbox.put(now -> core.list(now, nodes));
        }

        @Override
        public void nodeListUnavailable(String why) {
            inbox.put(now -> core.listUnavailable(now, why));
        }
    }

    private final class Outside implements ControllerState.Environment {
        @Override
        public Policy newPolicy(FleetSettings settings, long seed) {
            return planning.newPolicy(settings, seed);
        }

        @Override
        public void checkHealth(ListedNode node) {
            prober.check(
                    node.address(),
                    verdict -> inbox.put(now -> core.healthChecked(now, node.id(), verdict)));
        }

        @Override
        public void watchNodes() {
            list.start();
        }
    }
}
