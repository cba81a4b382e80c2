package rosespread.state;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import rosespread.api.ProxyId;

/**
 * Proxies that share tables, and when a delivery left for them last. Proxies that were moved elsewhere follow
 * the group's tables until they are bound there.
 */
public final class ProxyGroup {
    public final List<GroupTable> tables = new ArrayList<>();
    public final TreeMap<ProxyId, Proxy> members = new TreeMap<>();
    public long spokenAt = Node.NEVER;
    int followers;

    /** Nobody follows it, so that its tables can be laid anew at no cost. */
    public boolean free() {
        return followers == 0;
    }

    /** All were moved elsewhere; until they are bound there, what is written here still goes to them. */
    public boolean abandoned() {
        return members.isEmpty() && !free();
    }

    /** How many proxies get what is written to its tables. */
    public int followers() {
        return followers;
    }

    /** Lines of all its tables. */
    public int lines() {
        return tables.stream().mapToInt(table -> table.laid.size()).sum();
    }
}
