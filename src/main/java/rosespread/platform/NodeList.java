package rosespread.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import rosespread.api.EventHandler.NodeState;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;

/**
 * A node list from discovery.
 *
 * @param version increases with each change
 * @param full whether the list names all nodes, or only those changed since an earlier version
 */
record NodeList(long version, boolean full, List<NodeEntry> nodes) {
    /** The list of a controller that knows no node yet. */
    static final NodeList EMPTY = new NodeList(0, true, List.of());

    private static final int MAX_ENTRIES = 100_000;
    private static final int MAX_NAME_LENGTH = 255;

    /** Matches texts that can't be a name, as they contain a separator of the update format. */
    private static final Pattern CONTAINS_SEPARATOR = Pattern.compile(".*[,:+\\s].*");

    /** The latest wall-clock time, in the year 2255, whose nanoseconds fit a long. */
    private static final long MAX_STARTED_MILLIS = 9_000_000_000_000L;

    /**
     * Parses the body of an answer.
     *
     * @throws ConfigException if the body is invalid; names line and column, or entry and field
     */
    static NodeList parse(byte[] body) throws ConfigException {
        return read(JsonReader.object("the discovery response", body));
    }

    /**
     * Reads a list from JSON.
     *
     * @throws ConfigException if the list is invalid; names entry and field
     */
    static NodeList read(ConfigObject list) throws ConfigException {
        long version = list.longValue("version");
        List<ConfigObject> entries = list.requiredObjects("servers");
        if (entries.size() > MAX_ENTRIES) {
            throw new ConfigException(
                    "servers has " + entries.size() + " entries, more than " + MAX_ENTRIES);
        }
        List<NodeEntry> nodes = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            try {
                nodes.add(entry(entries.get(i)));
            } catch (ConfigException e) {
                throw new ConfigException("entry " + i + " of servers: " + e.getMessage());
            }
        }
        return new NodeList(version, list.booleanValue("full"), List.copyOf(nodes));
    }

    private static NodeEntry entry(ConfigObject entry) throws ConfigException {
        String name = name(entry);
        NodeState state = state(entry);
        double weight = entry.number("weight", 1);
        long startedMillis = entry.has("started_ms") ? (long) entry.number("started_ms") : 0;
        if (!(weight >= 0)
                || Double.isInfinite(weight)
                || startedMillis < 0
                || startedMillis > MAX_STARTED_MILLIS) {
            throw new ConfigException(
                    "weight " + weight + " or started_ms " + startedMillis + " is out of range");
        }
        return new NodeEntry(
                name,
                address(entry, state),
                entry.text("zone", ""),
                entry.text("kind", ""),
                weight,
                state,
                startedMillis);
    }

    private static String name(ConfigObject entry) throws ConfigException {
        String name = entry.text("id");
        if (name.isEmpty()
                || name.length() > MAX_NAME_LENGTH
                || CONTAINS_SEPARATOR.matcher(name).matches()) {
            throw new ConfigException(
                    "id \""
                            + name
                            + "\" is not 1 to "
                            + MAX_NAME_LENGTH
                            + " characters without comma, colon, plus sign and white space");
        }
        return name;
    }

    private static NodeState state(ConfigObject entry) throws ConfigException {
        String state = entry.text("state");
        return switch (state) {
            case "SERVING" -> NodeState.READY;
            case "DRAINING" -> NodeState.DRAINING;
            case "DELETED" -> NodeState.GONE;
            default -> throw new ConfigException("state \"" + state + "\" is not known");
        };
    }

    private static InetSocketAddress address(ConfigObject entry, NodeState state)
            throws ConfigException {
        boolean addressOptional = state == NodeState.GONE;
        return addressOptional && !entry.has("addr")
                ? null
                : AddressParser.parse("addr", entry.text("addr"));
    }
}
