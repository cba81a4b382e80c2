package rosespread.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.NodeId;
import rosespread.config.ConfigException;
import rosespread.discovery.HealthChecker;
import rosespread.eventloop.EventLoop;
import rosespread.eventloop.EventQueue;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;

/**
 * One controller on the platform, as a foreground process. Environment variables and a file
 * configure it, SIGTERM stops it, SIGHUP makes it reload the file. It writes nothing to disk. This
 * class creates the components and starts their threads; the components own all state.
 */
public final class PlatformController {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformController.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /**
     * Time after which the HTTP client closes an unused connection; short, as descriptors are
     * scarce.
     */
    private static final int IDLE_TIMEOUT_SECONDS = 1;

    private static final int HTTP_THREADS = 1;
    private static final String HEALTH_CHECK_PATH = "/-/healthy";
    private static final long HEALTH_CHECK_TIMEOUT_NANOS = 500_000_000L;
    private static final long JOIN_TIMEOUT_CHECK_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Exit status EX_SOFTWARE of sysexits.h: internal software error. */
    private static final int EXIT_INTERNAL_ERROR = 70;

    private final PlatformConfig config;
    private final EventQueue events = new EventQueue();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(PlatformController::timerThread);
    private final HttpClient http =
            new HttpClient(
                    HTTP_THREADS, HttpLimits.DEFAULT, CONNECT_TIMEOUT_MILLIS, IDLE_TIMEOUT_SECONDS);
    private final HealthChecker healthChecker =
            new HealthChecker(http, HEALTH_CHECK_PATH, HEALTH_CHECK_TIMEOUT_NANOS);
    private final PlatformState state;
    private final StreamServer server;
    private final StatusReporter reporter;
    private final DiscoveryWatch watch;
    private final ConfigReloader reloader;

    private PlatformController(PlatformConfig config, Map<String, String> environment) {
        this.config = config;
        PlatformMetrics metrics = new PlatformMetrics();
        long wallClockOffsetNanos =
                System.nanoTime() - System.currentTimeMillis() * NANOS_PER_MILLI;
        state = new PlatformState(config, this::checkHealth, metrics, wallClockOffsetNanos);
        MessageReader reader = new MessageReader(config.names(), config.proxies());
        server = new StreamServer(events, state, reader, metrics, config.maxConnections());
        reporter = new StatusReporter(state, metrics, this::processStatus);
        watch =
                new DiscoveryWatch(
                        http, timer, new SplittableRandom(config.seed()), new NodeListListener());
        reloader = new ConfigReloader(config, environment, watch, server);
    }

    private static Thread timerThread(Runnable task) {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Runs until the process ends or the calling thread is interrupted.
     *
     * @param environment the environment variables, which name the configuration file
     * @throws ConfigException if the configuration is missing or invalid; names the variable or
     *     field
     * @throws IOException if the address to listen on can't be bound
     */
    public static void serve(Map<String, String> environment) throws ConfigException, IOException {
        serve(environment, SignalHandlers::handle);
    }

    /** Runs as {@link #serve(Map)} does, with a signal registrar that a test can replace. */
    static void serve(Map<String, String> environment, SignalHandlers.Registrar signals)
            throws ConfigException, IOException {
        CompletableFuture<PlatformController> running = new CompletableFuture<>();
        register(signals, running);
        PlatformController controller =
                new PlatformController(PlatformConfig.read(environment), environment);
        controller.start();
        running.complete(controller);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Registers the signal handlers. A SIGHUP during startup, such as right after the first
     * heartbeat, takes effect once startup is complete.
     */
    private static void register(
            SignalHandlers.Registrar signals, CompletableFuture<PlatformController> running) {
        signals.handle("TERM", PlatformController::exit);
        if (!signals.handle("HUP", () -> running.join().reloader.reload())) {
            LOG.warn(
                    "SIGHUP is ignored, as set by the parent process (for example nohup): the"
                            + " configuration file is read again only while discovery is"
                            + " unavailable");
        }
    }

    private static void exit() {
        LOG.info("SIGTERM received, shutting down");
        System.exit(0);
    }

    private void start() throws IOException {
        EventLoop loop =
                new EventLoop(events, this::runDue, PlatformController::haltAfterEventLoop);
        Thread thread = new Thread(loop, "event-loop");
        thread.setDaemon(true);
        thread.start();
        watch.follow(config.discovery());
        timer.scheduleAtFixedRate(
                this::closeOverdue,
                JOIN_TIMEOUT_CHECK_MILLIS,
                JOIN_TIMEOUT_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
        logStart(server.listen(config.listen()));
        for (ChannelCapacityCheck.Warning warning :
                ChannelCapacityCheck.warnings(config.settings(), config.proxies())) {
            LOG.atWarn().addKeyValue("shortage", warning.shortage()).log(warning.text());
        }
    }

    private void logStart(InetSocketAddress address) {
        LOG.atInfo()
                .addKeyValue("controller", config.name())
                .addKeyValue("address", address)
                .addKeyValue("discovery", config.discovery())
                .addKeyValue("nodes", config.knownNodes().nodes().size())
                .addKeyValue("maxSockets", config.maxSockets())
                .addKeyValue("maxProxies", config.proxies())
                .addKeyValue("settings", config.settings())
                .log("listening for proxies");
    }

    /** Runs one iteration of the event loop; returns when the next is due. */
    private long runDue(long now) {
        long nextReport = reporter.reportIfDue(now);
        return Math.min(state.runDue(now), nextReport);
    }

    /**
     * Ends the process when its event loop has ended, so that the platform restarts it. Otherwise
     * I/O threads would go on answering heartbeats while no event loop runs.
     */
    private static void haltAfterEventLoop() {
        LOG.error("event loop ended, exiting");
        Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR);
    }

    /**
     * Closes connections past their join timeout. Logs any failure: the timer does not repeat a
     * task that throws, and overdue connections would then stay open forever.
     */
    private void closeOverdue() {
        try {
            server.closeOverdue(System.nanoTime());
        } catch (RuntimeException | LinkageError | VirtualMachineError e) {
            LOG.error("closing connections past their join timeout failed", e);
        }
    }

    private void checkHealth(NodeId node, NodeEntry entry) {
        healthChecker.check(
                entry.address(), result -> events.put(now -> state.healthChecked(node, result)));
    }

    private ProcessStatus processStatus() {
        return ProcessStatus.read(server.openConnections(), server.maxWriteBufferBytes());
    }

    private final class NodeListListener implements DiscoveryWatch.Listener {
        @Override
        public void listReceived(NodeList list) {
            events.put(now -> state.nodeListReceived(now, list));
        }

        @Override
        public void listUnavailable(String reason) {
            LOG.atWarn().addKeyValue("reason", reason).log("discovery unavailable");
            events.put(now -> state.nodeListUnavailable());
            timer.execute(reloader::pollIfDue);
        }
    }
}
