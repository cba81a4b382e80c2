package rosespread.platform;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
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
 * One conductor on the platform, in the foreground: told by the environment and a file, stopped by
 * SIGTERM, told of a new file by SIGHUP. Nothing of it is kept on disk.
 */
public final class PlatformController {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformController.class);
    private static final int CONNECT_MILLIS = 500;

    /** Unused connections are dropped soon, as descriptors are few. */
    private static final int IDLE_SECONDS = 1;

    private static final long PROBE_NANOS = 500_000_000L;
    private static final long SWEEP_MILLIS = 50;

    /** While discovery is out of reach, the file is looked at so often. */
    private static final long LOOK_NANOS = 1_000_000_000L;

    /** EX_SOFTWARE of sysexits.h. */
    private static final int BROKEN = 70;

    /** Descriptors kept back from connections that come in: discovery, probes, files, selectors. */
    private static final int KEPT_BACK = 72;

    private final Map<String, String> environment;
    private final EventQueue inbox = new EventQueue();
    private final PlatformMetrics counts = new PlatformMetrics();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "timer");
                        thread.setDaemon(true);
                        return thread;
                    });
    private final HttpClient http =
            new HttpClient(1, HttpLimits.DEFAULT, CONNECT_MILLIS, IDLE_SECONDS);
    private final HealthChecker prober = new HealthChecker(http, "/-/healthy", PROBE_NANOS);
    private final DiscoveryWatch watch;
    private final PlatformState core;
    private final StreamServer server;
    private PlatformConfig config;
    private long lookedAt;

    private PlatformController(PlatformConfig config, Map<String, String> environment) {
        this.config = config;
        this.environment = environment;
        this.lookedAt = System.nanoTime();
        long wallOffset = System.nanoTime() - System.currentTimeMillis() * 1_000_000;
        core = new PlatformState(config, new Outside(), counts, wallOffset);
        server =
                new StreamServer(
                        inbox,
                        core,
                        new MessageReader(config.names(), config.proxies()),
                        counts,
                        most(config));
        watch =
                new DiscoveryWatch(
                        http, timer, new SplittableRandom(config.seed()), new ListEars());
    }

    /** Runs until the process is told to end; returns its exit code if it can't begin. */
    public static int serve(Map<String, String> environment) {
        return serve(environment, Signals::handle);
    }

    /**
     * @param signals takes a signal's name and what is run at it; false if the process is not told
     *     of it
     */
    static int serve(Map<String, String> environment, BiPredicate<String, Runnable> signals) {
        CompletableFuture<PlatformController> running = new CompletableFuture<>();
        signals.test(
                "TERM",
                () -> {
                    LOG.info("told to end");
                    System.exit(0);
                });
        // One that comes before the start is over, such as right after the first hb_ok, is not
        // lost.
        if (!signals.test("HUP", () -> running.join().reload())) {
            LOG.warn(
                    "SIGHUP is ignored, as whoever started this process set it (nohup does): the configuration"
                            + " is looked at only while discovery is out of reach");
        }
        try {
            PlatformConfig config = PlatformConfig.read(environment);
            PlatformController conductor = new PlatformController(config, environment);
            conductor.start();
            running.complete(conductor);
        } catch (ConfigException e) {
            System.err.println("rosespread serve: " + e.getMessage());
            return 2;
        } catch (IOException e) {
            System.err.println("rosespread serve: can't listen: " + e.getMessage());
            return 1;
        }
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    private static int most(PlatformConfig config) {
        return Math.max(1, config.sockets() - KEPT_BACK);
    }

    private void start() throws IOException {
        Thread decisions =
                new Thread(new EventLoop(inbox, core::turn, this::undecided), "decisions");
        decisions.setDaemon(true);
        decisions.start();
        watch.follow(config.discovery());
        timer.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        InetSocketAddress bound = server.listen(config.listen());
        LOG.info(
                "{} listens on {}, discovery {}, {} nodes known, {} sockets, {} proxies at most, {}",
                config.name(),
                bound,
                config.discovery(),
                config.known().targets().size(),
                config.sockets(),
                config.proxies(),
                config.settings());
        ChannelFit.warnings(config.settings(), config.proxies()).forEach(LOG::warn);
    }

    /**
     * A timer's task that throws is never run again: strangers would keep their descriptors for
     * good.
     */
    private void sweep() {
        try {
            server.sweep(System.nanoTime());
        } catch (RuntimeException | Error e) {
            LOG.error("strangers could not be looked through", e);
        }
    }

    /**
     * I/O threads would go on saying that all is well; the platform starts a process that ended
     * anew.
     */
    private void undecided() {
        LOG.error("the decision thread ended, so the process does");
        Runtime.getRuntime().halt(BROKEN);
    }

    /**
     * A SIGHUP may be lost: to a parent that ignores it, or to a file that was not whole yet.
     * Guards against a list that goes quiet for good because discovery has moved and nobody heard
     * of it.
     */
    private synchronized void look() {
        long now = System.nanoTime();
        if (now - lookedAt < LOOK_NANOS) {
            return;
        }
        lookedAt = now;
        try {
            PlatformConfig next = PlatformConfig.read(environment);
            if (!next.discovery().equals(config.discovery())) {
                take(next);
            }
        } catch (ConfigException | RuntimeException e) {
            LOG.debug("the configuration can't be used now: {}", e.getMessage());
        }
    }

    /** A file at fault changes nothing; of a good one, what can be taken while running is. */
    private synchronized void reload() {
        try {
            take(PlatformConfig.read(environment));
        } catch (ConfigException | RuntimeException e) {
            LOG.error("the new configuration is at fault and changes nothing: {}", e.getMessage());
        }
    }

    private void take(PlatformConfig next) {
        if (!next.discovery().equals(config.discovery())) {
            LOG.info("discovery moves from {} to {}", config.discovery(), next.discovery());
            watch.follow(next.discovery());
        }
        LOG.info("the new configuration was read");
        server.mostOpen(most(next));
        if (!next.settings().equals(config.settings()) || !next.listen().equals(config.listen())) {
            LOG.warn("settings or the address to listen on changed: taken at the next start");
        }
        config = next;
    }

    private final class ListEars implements DiscoveryWatch.Ears {
        @Override
        public void list(TargetList list) {
            inbox.put(now -> core.list(now, list));
        }

        @Override
        public void unavailable(String why) {
            LOG.warn("discovery: {}", why);
            inbox.put(now -> core.listUnavailable());
            timer.execute(PlatformController.this::look);
        }
    }

    private final class Outside implements PlatformState.World {
        @Override
        public void probe(NodeId node, Target target) {
            prober.check(target.address(), verdict -> inbox.put(now -> core.probed(node, verdict)));
        }

        @Override
        public String seen() {
            return "open "
                    + server.open()
                    + " opened "
                    + counts.opened.sum()
                    + " rejected "
                    + counts.rejected.sum()
                    + " late "
                    + counts.strangersClosed.sum()
                    + " evicted "
                    + counts.evicted.sum()
                    + " garbled "
                    + counts.garbled.sum()
                    + " not accepted "
                    + counts.notAccepted.sum()
                    + " unread "
                    + server.unwritten()
                    + " resident "
                    + resident()
                    + " KB descriptors "
                    + descriptors();
        }

        private long resident() {
            try {
                String[] pages =
                        Files.readString(Path.of("/proc/self/statm"), StandardCharsets.US_ASCII)
                                .split(" ");
                return Long.parseLong(pages[1]) * 4;
            } catch (IOException | RuntimeException e) {
                return -1;
            }
        }

        private int descriptors() {
            String[] all = new File("/proc/self/fd").list();
            return all == null ? -1 : all.length;
        }
    }
}
