package rosespread.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import rosespread.api.PolicySettings;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;
import rosespread.config.NameRegistry;

/** What the platform tells a conductor at its start and, by the same file, while it runs. */
record PlatformConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int maxSockets,
        NodeList knownNodes,
        NameRegistry names,
        PolicySettings settings,
        int proxies) {
    private static final long MOST_BYTES = 16L << 20;

    /**
     * Reads the file that the environment names.
     *
     * @throws ConfigException naming the variable or field at fault
     */
    static PlatformConfig read(Map<String, String> environment) throws ConfigException {
        String path = environment.get("ROUTER_CONFIG");
        if (path == null || path.isEmpty()) {
            throw new ConfigException("ROUTER_CONFIG is not set");
        }
        byte[] bytes;
        try {
            if (Files.size(Path.of(path)) > MOST_BYTES) {
                throw new ConfigException("ROUTER_CONFIG is over " + MOST_BYTES + " bytes");
            }
            bytes = Files.readAllBytes(Path.of(path));
        } catch (IOException e) {
            throw new ConfigException("ROUTER_CONFIG can't be read: " + e);
        }
        return read(JsonReader.object("the configuration", bytes), environment);
    }

    static PlatformConfig read(ConfigObject all, Map<String, String> environment)
            throws ConfigException {
        ConfigObject info = all.object("settings");
        NameRegistry names = new NameRegistry(info);
        int proxies = info.object("domain").integer("agents");
        if (proxies < 1 || proxies > 65_536) {
            throw new ConfigException("settings.domain.agents is not 1 to 65536");
        }
        int sockets = all.has("limits") ? all.object("limits").integer("sockets", 1024) : 1024;
        NodeList known =
                all.has("known")
                        ? NodeList.read(all.object("known"))
                        : new NodeList(0, true, java.util.List.of());
        return new PlatformConfig(
                all.text("name", environment.getOrDefault("ROUTER_NAME", "conductor")),
                address(all, "listen", environment.get("ROUTER_LISTEN")),
                address(all, "discovery", environment.get("ROUTER_DISCOVERY")),
                seed(all.text("seed", "0")),
                sockets,
                known,
                names,
                names.settings(info),
                proxies);
    }

    private static InetSocketAddress address(ConfigObject all, String field, String absent)
            throws ConfigException {
        return AddressParser.read(
                field, absent == null ? all.text(field) : all.text(field, absent));
    }

    private static long seed(String text) throws ConfigException {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed \"" + text + "\" is not up to 16 hexadecimal digits");
        }
    }
}
