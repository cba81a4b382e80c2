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
 * One controller on the platform, in the foreground: configured by the environment and a file,
 * stopped by SIGTERM, made to read the file again by SIGHUP. It writes nothing to disk. It puts the
 * parts together and starts their threads; all state is theirs.
 */
public final class PlatformController {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformController.class);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Unused connections are closed soon, as descriptors are few. */
    private static final int IDLE_TIMEOUT_SECONDS = 1;

    private static final int HTTP_THREADS = 1;
    private static final String HEALTH_CHECK_PATH = "/-/healthy";
    private static final long HEALTH_CHECK_TIMEOUT_NANOS = 500_000_000L;
    private static final long JOIN_TIMEOUT_CHECK_MILLIS = 50;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** EX_SOFTWARE of sysexits.h: an internal error was found. */
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
        long wallOffset = System.nanoTime() - System.currentTimeMillis() * NANOS_PER_MILLI;
        state = new PlatformState(config, this::checkHealth, metrics, wallOffset);
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
     * Runs until the process is ended, or the calling thread interrupted.
     *
     * @param environment what names the configuration file
     * @throws ConfigException if the configuration is missing or invalid; it names the place
     * @throws IOException if the address to listen on can't be bound
     */
    public static void serve(Map<String, String> environment) throws ConfigException, IOException {
        serve(environment, SignalHandlers::handle);
    }

    /** As {@link #serve(Map)}, with signals that a test may raise. */
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

    /** A SIGHUP during the start, such as right after the first heartbeat, waits for its end. */
    private static void register(
            SignalHandlers.Registrar signals, CompletableFuture<PlatformController> running) {
        signals.handle("TERM", PlatformController::exit);
        if (!signals.handle("HUP", () -> running.join().reloader.reload())) {
            LOG.warn(
                    "SIGHUP is ignored, as set by the parent process (nohup does so): the"
                            + " configuration is polled only while discovery is unavailable");
        }
    }

    private static void exit() {
        LOG.info("SIGTERM received, shutting down");
        System.exit(0);
    }

    private void start() throws IOException {
        EventLoop loop = new EventLoop(events, this::runDue, PlatformController::exitWithoutLoop);
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

    /** One turn of the event loop; returns when the next is due. */
    private long runDue(long now) {
        long nextReport = reporter.reportIfDue(now);
        return Math.min(state.runDue(now), nextReport);
    }

    /**
     * Ends the process with its event loop: I/O threads would go on answering heartbeats, while the
     * platform restarts a process that ended.
     */
    private static void exitWithoutLoop() {
        LOG.error("event loop ended, exiting");
        Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR);
    }

    /** A timer's task that throws is never run again: connections would stay open for good. */
    private void closeOverdue() {
        try {
            server.closeOverdue(System.nanoTime());
        } catch (RuntimeException | LinkageError | VirtualMachineError e) {
            LOG.error("connections that did not join could not be closed", e);
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
