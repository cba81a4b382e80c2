package rosespread.policy.state;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;

/**
 * Proxies that share tables, and when a delivery left for them last. Proxies that were moved
 * elsewhere follow the group's tables until they are bound there.
 */
public final class ProxyShard {
    public final List<ShardTable> tables = new ArrayList<>();
    public final TreeMap<ProxyId, Proxy> members = new TreeMap<>();
    public long spokenAt = Node.NEVER;
    int followers;

    /**
     * Lays a table for each set of methods open to the same nodes, one a zone where the proxy's
     * zone binds.
     *
     * @param firstId of the tables, numbered from there on
     */
    public ProxyShard(PolicySettings settings, int firstId) {
        for (int m = 0; m < settings.methods().size(); m++) {
            PolicySettings.Method method = settings.methods().get(m);
            for (int zone = 0; zone < (method.localZoneOnly() ? settings.zones() : 1); zone++) {
                ZoneId home = method.localZoneOnly() ? new ZoneId(zone) : null;
                tableFor(method, home, firstId).methods.add(new MethodId(m));
            }
        }
    }

    private ShardTable tableFor(PolicySettings.Method method, ZoneId home, int firstId) {
        return tables.stream()
                .filter(table -> table.serves(method, home))
                .findFirst()
                .orElseGet(
                        () -> {
                            ShardTable table =
                                    new ShardTable(
                                            new TableId(firstId + tables.size()),
                                            this,
                                            method,
                                            home);
                            tables.add(table);
                            return table;
                        });
    }

    /** The levels of another group's like tables hold here too, and are pending. */
    public void takeLevels(ProxyShard other) {
        for (int i = 0; i < tables.size(); i++) {
            tables.get(i).levels.putAll(other.tables.get(i).levels);
            tables.get(i).pendingLevels.putAll(other.tables.get(i).levels);
        }
    }

    /** Nobody follows it, so that its tables can be laid anew at no cost. */
    public boolean free() {
        return followers == 0;
    }

    /**
     * All were moved elsewhere; until they are bound there, what is written here still goes to
     * them.
     */
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
