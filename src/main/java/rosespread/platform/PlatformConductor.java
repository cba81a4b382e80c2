package rosespread.platform;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.NodeId;
import rosespread.http.HttpClient;
import rosespread.http.HttpLimits;
import rosespread.launch.LaunchException;
import rosespread.list.Prober;
import rosespread.turn.DecisionLoop;
import rosespread.turn.Inbox;

/**
 * One conductor on the platform, in the foreground: told by the environment and a file, stopped by SIGTERM,
 * told of a new file by SIGHUP. Nothing of it is kept on disk.
 */
public final class PlatformConductor {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformConductor.class);
    private static final int CONNECT_MILLIS = 500;
    /** Unused connections are dropped soon, as descriptors are few. */
    private static final int IDLE_SECONDS = 1;
    private static final long PROBE_NANOS = 500_000_000L;
    private static final long SWEEP_MILLIS = 50;
    /** Descriptors kept back from connections that come in: discovery, probes, files, selectors. */
    private static final int KEPT_BACK = 72;

    private final Map<String, String> environment;
    private final Inbox inbox = new Inbox();
    private final Counts counts = new Counts();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "timer");
        thread.setDaemon(true);
        return thread;
    });
    private final HttpClient http = new HttpClient(1, HttpLimits.USUAL, CONNECT_MILLIS, IDLE_SECONDS);
    private final Prober prober = new Prober(http, "/-/healthy", PROBE_NANOS);
    private final DiscoveryWatch watch;
    private final PlatformCore core;
    private final StreamServer server;
    private PlatformConfig config;

    private PlatformConductor(PlatformConfig config, Map<String, String> environment) {
        this.config = config;
        this.environment = environment;
        long wallOffset = System.nanoTime() - System.currentTimeMillis() * 1_000_000;
        core = new PlatformCore(config, new Outside(), counts, wallOffset);
        server = new StreamServer(inbox, core, new MessageReader(config.names(), config.proxies()), counts,
                most(config));
        watch = new DiscoveryWatch(http, timer, new SplittableRandom(config.seed()), new ListEars());
    }

    /** Runs until the process is told to end; returns its exit code if it can't begin. */
    public static int serve(Map<String, String> environment) {
        CountDownLatch ready = new CountDownLatch(1);
        PlatformConductor[] running = new PlatformConductor[1];
        Signals.handle("TERM", () -> {
            LOG.info("told to end");
            System.exit(0);
        });
        Signals.handle("HUP", () -> {
            if (ready.getCount() == 0) {
                running[0].reload();
            }
        });
        try {
            PlatformConfig config = PlatformConfig.read(environment);
            running[0] = new PlatformConductor(config, environment);
            running[0].start();
        } catch (LaunchException e) {
            System.err.println("rosespread serve: " + e.getMessage());
            return 2;
        } catch (IOException e) {
            System.err.println("rosespread serve: can't listen: " + e.getMessage());
            return 1;
        }
        ready.countDown();
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
        Thread decisions = new Thread(new DecisionLoop(inbox, core::turn), "decisions");
        decisions.setDaemon(true);
        decisions.start();
        watch.follow(config.discovery());
        timer.scheduleAtFixedRate(() -> server.sweep(System.nanoTime()), SWEEP_MILLIS, SWEEP_MILLIS,
                TimeUnit.MILLISECONDS);
        InetSocketAddress bound = server.listen(config.listen());
        LOG.info("{} listens on {}, discovery {}, {} nodes known, {} sockets, {} proxies at most",
                config.name(), bound, config.discovery(), config.known().targets().size(), config.sockets(),
                config.proxies());
    }

    /** A file at fault changes nothing; of a good one, what can be taken while running is. */
    private synchronized void reload() {
        try {
            PlatformConfig next = PlatformConfig.read(environment);
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
        } catch (LaunchException e) {
            LOG.error("the new configuration is at fault and changes nothing: {}", e.getMessage());
        }
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
        }
    }

    private final class Outside implements PlatformCore.World {
        @Override
        public void probe(NodeId node, Target target) {
            prober.probe(target.address(), verdict -> inbox.put(now -> core.probed(node, verdict)));
        }

        @Override
        public String seen() {
            return "open " + server.open() + " opened " + counts.opened.sum() + " rejected "
                    + counts.rejected.sum() + " late " + counts.strangersClosed.sum() + " evicted "
                    + counts.evicted.sum() + " garbled " + counts.garbled.sum() + " resident "
                    + resident() + " KB descriptors " + descriptors();
        }

        private long resident() {
            try {
                String[] pages = Files.readString(Path.of("/proc/self/statm"), StandardCharsets.US_ASCII)
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
