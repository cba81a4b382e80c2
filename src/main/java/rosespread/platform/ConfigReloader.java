package rosespread.platform;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.config.ConfigException;

/**
 * Reads the configuration file again and applies what can change while running: the address of
 * discovery and the number of sockets. An invalid file changes nothing. State is guarded by the
 * monitor, as signal and timer threads meet here.
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
     * Takes over after the start.
     *
     * @param config the configuration in use
     * @param environment names the file
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

    /** Reads the file, as SIGHUP asks for. */
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
     * Looks once a second whether the file names another address of discovery. SIGHUP may be lost:
     * to a parent that ignores it, or to a file that was not complete yet. Guards against a node
     * list that stays as it is for good because discovery has moved and no signal came through.
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
            LOG.atDebug()
                    .addKeyValue("reason", e.getMessage())
                    .log("configuration can't be read now");
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
