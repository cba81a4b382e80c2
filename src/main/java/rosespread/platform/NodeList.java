package rosespread.platform;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rosespread.api.EventHandler.NodeState;
import rosespread.config.ConfigException;
import rosespread.config.ConfigObject;

/**
 * One answer of discovery: the whole list, or the entries that changed since an earlier version.
 */
record NodeList(long version, boolean full, List<NodeEntry> nodes) {
    private static final int MOST = 100_000;

    /** The last wall time in milliseconds that nanoseconds can still tell, in the year 2255. */
    private static final long MOST_STARTED = 9_000_000_000_000L;

    /**
     * @throws ConfigException if it is no such answer; names line and column, or entry and field
     */
    static NodeList parse(byte[] body) throws ConfigException {
        return read(JsonReader.object("the answer", body));
    }

    static NodeList read(ConfigObject list) throws ConfigException {
        long version = list.whole("version");
        List<NodeEntry> targets = new ArrayList<>();
        List<ConfigObject> entries = list.requiredObjects("servers");
        if (entries.size() > MOST) {
            throw new ConfigException("servers has over " + MOST + " entries");
        }
        for (int i = 0; i < entries.size(); i++) {
            try {
                targets.add(target(entries.get(i)));
            } catch (ConfigException e) {
                throw new ConfigException("entry " + i + " of servers: " + e.getMessage());
            }
        }
        return new NodeList(version, list.flag("full"), List.copyOf(targets));
    }

    private static NodeEntry target(ConfigObject entry) throws ConfigException {
        String name = entry.text("id");
        if (name.isEmpty() || name.length() > 255 || name.matches(".*[,:+\\s].*")) {
            throw new ConfigException("id \"" + name + "\" can't be written in an order");
        }
        NodeState state =
                switch (entry.text("state")) {
                    case "SERVING" -> NodeState.READY;
                    case "DRAINING" -> NodeState.DRAINING;
                    case "DELETED" -> NodeState.GONE;
                    default ->
                            throw new ConfigException(
                                    "state \"" + entry.text("state") + "\" is not known");
                };
        double weight = entry.number("weight", 1);
        long started = entry.has("started_ms") ? (long) entry.number("started_ms") : 0;
        if (!(weight >= 0) || Double.isInfinite(weight) || started < 0 || started > MOST_STARTED) {
            throw new ConfigException("weight or started_ms is out of range");
        }
        InetSocketAddress address =
                state == NodeState.GONE && !entry.has("addr")
                        ? null
                        : AddressParser.read("addr", entry.text("addr"));
        return new NodeEntry(
                name,
                address,
                entry.text("zone", ""),
                entry.text("kind", ""),
                weight,
                state,
                started);
    }
}
