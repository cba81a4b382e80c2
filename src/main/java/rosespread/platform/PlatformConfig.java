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
import rosespread.config.PolicySettingsReader;

/**
 * The configuration that the platform gives a controller at startup and, by the same file, at
 * runtime.
 *
 * @param maxSockets the number of descriptors that the process may use for connections
 * @param knownNodes the node list to start with, until discovery answers
 * @param names the settings' zones, methods and machine types
 * @param proxies the number of proxies, which are numbered from 0
 */
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
    private static final String FILE_VARIABLE = "ROUTER_CONFIG";
    private static final String NAME_VARIABLE = "ROUTER_NAME";
    private static final String LISTEN_VARIABLE = "ROUTER_LISTEN";
    private static final String DISCOVERY_VARIABLE = "ROUTER_DISCOVERY";
    private static final long MAX_FILE_BYTES = 16L << 20;
    private static final int MAX_PROXIES = 65_536;
    private static final int DEFAULT_SOCKETS = 1024;
    private static final int HEXADECIMAL = 16;

    /** Descriptors reserved for discovery, health checks, files and selectors. */
    private static final int RESERVED_DESCRIPTORS = 72;

    /** The maximum number of open incoming connections. */
    int maxConnections() {
        return Math.max(1, maxSockets - RESERVED_DESCRIPTORS);
    }

    /**
     * Reads the file that the environment names.
     *
     * @throws ConfigException naming the invalid variable or field
     */
    static PlatformConfig read(Map<String, String> environment) throws ConfigException {
        String path = environment.get(FILE_VARIABLE);
        if (path == null || path.isEmpty()) {
            throw new ConfigException(FILE_VARIABLE + " is not set");
        }
        return read(JsonReader.object("the configuration", readFile(path)), environment);
    }

    private static byte[] readFile(String path) throws ConfigException {
        try {
            if (Files.size(Path.of(path)) > MAX_FILE_BYTES) {
                throw new ConfigException(
                        "file named by "
                                + FILE_VARIABLE
                                + " is larger than "
                                + MAX_FILE_BYTES
                                + " bytes");
            }
            return Files.readAllBytes(Path.of(path));
        } catch (IOException e) {
            throw new ConfigException("file named by " + FILE_VARIABLE + " can't be read: " + e);
        }
    }

    /**
     * Reads the file's JSON object. Environment variables supply the name and addresses that the
     * object lacks.
     *
     * @throws ConfigException naming the invalid field
     */
    static PlatformConfig read(ConfigObject file, Map<String, String> environment)
            throws ConfigException {
        ConfigObject settings = file.object("settings");
        NameRegistry names = new NameRegistry(settings);
        int proxies = proxies(settings);
        int sockets = sockets(file);
        NodeList known = knownNodes(file);
        return new PlatformConfig(
                file.text("name", environment.getOrDefault(NAME_VARIABLE, "conductor")),
                address(file, "listen", environment.get(LISTEN_VARIABLE)),
                address(file, "discovery", environment.get(DISCOVERY_VARIABLE)),
                seed(file.text("seed", "0")),
                sockets,
                known,
                names,
                new PolicySettingsReader(names).read(settings),
                proxies);
    }

    private static int proxies(ConfigObject settings) throws ConfigException {
        int proxies = settings.object("domain").integer("agents");
        if (proxies < 1 || proxies > MAX_PROXIES) {
            throw new ConfigException(
                    "settings.domain.agents is " + proxies + ", expected 1 to " + MAX_PROXIES);
        }
        return proxies;
    }

    private static int sockets(ConfigObject file) throws ConfigException {
        return file.has("limits")
                ? file.object("limits").integer("sockets", DEFAULT_SOCKETS)
                : DEFAULT_SOCKETS;
    }

    private static NodeList knownNodes(ConfigObject file) throws ConfigException {
        return file.has("known") ? NodeList.read(file.object("known")) : NodeList.EMPTY;
    }

    private static InetSocketAddress address(ConfigObject file, String field, String fallback)
            throws ConfigException {
        String text = fallback == null ? file.text(field) : file.text(field, fallback);
        return AddressParser.parse(field, text);
    }

    private static long seed(String text) throws ConfigException {
        try {
            return Long.parseUnsignedLong(text, HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new ConfigException("seed \"" + text + "\" is not up to 16 hexadecimal digits");
        }
    }
}
