package rosespread.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import rosespread.api.EventHandler.NodeState;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;

/**
 * One answer of discovery.
 *
 * @param version grows with each change
 * @param full whether it names all nodes, or only those that changed since an earlier version
 */
record NodeList(long version, boolean full, List<NodeEntry> nodes) {
    /** The list of a controller that knows no node yet. */
    static final NodeList EMPTY = new NodeList(0, true, List.of());

    private static final int MAX_ENTRIES = 100_000;
    private static final int MAX_NAME_LENGTH = 255;

    /** Characters that can't stand in a name, as updates separate names by them. */
    private static final Pattern SEPARATOR = Pattern.compile(".*[,:+\\s].*");

    /** The last wall time in milliseconds that nanoseconds can still express, in the year 2255. */
    private static final long MAX_STARTED_MILLIS = 9_000_000_000_000L;

    /**
     * Parses an answer.
     *
     * @throws ConfigException if it is not valid; names line and column, or entry and field
     */
    static NodeList parse(byte[] body) throws ConfigException {
        return read(JsonReader.object("the answer", body));
    }

    /**
     * Reads a list from JSON.
     *
     * @throws ConfigException if it is not valid; names entry and field
     */
    static NodeList read(ConfigObject list) throws ConfigException {
        long version = list.longValue("version");
        List<ConfigObject> entries = list.requiredObjects("servers");
        if (entries.size() > MAX_ENTRIES) {
            throw new ConfigException("servers has over " + MAX_ENTRIES + " entries");
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
            throw new ConfigException("weight or started_ms is out of range");
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
                || SEPARATOR.matcher(name).matches()) {
            throw new ConfigException("id \"" + name + "\" can't be written in an update");
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
        boolean mayLack = state == NodeState.GONE;
        return mayLack && !entry.has("addr")
                ? null
                : AddressParser.parse("addr", entry.text("addr"));
    }
}
