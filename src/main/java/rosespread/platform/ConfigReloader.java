package rosespread.platform;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.config.ConfigException;

/**
 * Reloads the configuration file and applies the settings that can change at runtime: the discovery
 * address and the number of sockets. An invalid file changes nothing. Signal and timer threads call
 * it; its state is guarded by its monitor.
 */
final class ConfigReloader {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigReloader.class);
    private static final long POLL_INTERVAL_NANOS = 1_000_000_000L;

    private final Map<String, String> environment;
    private final DiscoveryWatch watch;
    private final StreamServer server;
    private PlatformConfig config;
    private long polledNanos;

    /**
     * Creates a reloader for a running controller.
     *
     * @param config the configuration in use
     * @param environment the environment variables, which name the file
     */
    ConfigReloader(
            PlatformConfig config,
            Map<String, String> environment,
            DiscoveryWatch watch,
            StreamServer server) {
        this.config = config;
        this.environment = environment;
        this.watch = watch;
        this.server = server;
        this.polledNanos = System.nanoTime();
    }

    /** Reloads the file; called on SIGHUP. */
    synchronized void reload() {
        try {
            apply(PlatformConfig.read(environment));
        } catch (ConfigException | RuntimeException e) {
            LOG.atError()
                    .addKeyValue("reason", e.getMessage())
                    .log("configuration rejected, the current one stays in use");
        }
    }

    /**
     * Reloads the file, at most once a second, if it names another discovery address. A SIGHUP has
     * no effect if the parent process set it to be ignored or if the file is still incomplete when
     * it arrives. Without the poll, the node list would then never change again after discovery has
     * moved.
     */
    synchronized void pollIfDue() {
        long now = System.nanoTime();
        if (now - polledNanos < POLL_INTERVAL_NANOS) {
            return;
        }
        polledNanos = now;
        try {
            PlatformConfig next = PlatformConfig.read(environment);
            if (!next.discovery().equals(config.discovery())) {
                apply(next);
            }
        } catch (ConfigException | RuntimeException e) {
            LOG.atDebug().addKeyValue("reason", e.getMessage()).log("configuration poll failed");
        }
    }

    private void apply(PlatformConfig next) {
        if (!next.discovery().equals(config.discovery())) {
            LOG.atInfo()
                    .addKeyValue("previous", config.discovery())
                    .addKeyValue("address", next.discovery())
                    .log("discovery address changed");
            watch.follow(next.discovery());
        }
        LOG.info("configuration reloaded");
        server.setMaxConnections(next.maxConnections());
        if (!next.settings().equals(config.settings()) || !next.listen().equals(config.listen())) {
            LOG.warn("settings or listen address changed: a restart is required");
        }
        config = next;
    }
}
