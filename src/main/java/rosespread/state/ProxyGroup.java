package rosespread.state;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.ProxyId;
import rosespread.api.Settings;
import rosespread.api.TableId;
import rosespread.api.ZoneId;

/**
 * Proxies that share tables, and when a delivery left for them last. Proxies that were moved
 * elsewhere follow the group's tables until they are bound there.
 */
public final class ProxyGroup {
    public final List<GroupTable> tables = new ArrayList<>();
    public final TreeMap<ProxyId, Proxy> members = new TreeMap<>();
    public long spokenAt = Node.NEVER;
    int followers;

    /**
     * Lays a table for each set of methods open to the same nodes, one a zone where the proxy's
     * zone binds.
     *
     * @param firstId of the tables, numbered from there on
     */
    public ProxyGroup(Settings settings, int firstId) {
        for (int m = 0; m < settings.methods().size(); m++) {
            Settings.Method method = settings.methods().get(m);
            for (int zone = 0; zone < (method.ownZone() ? settings.zones() : 1); zone++) {
                ZoneId home = method.ownZone() ? new ZoneId(zone) : null;
                tableFor(method, home, firstId).methods.add(new MethodId(m));
            }
        }
    }

    private GroupTable tableFor(Settings.Method method, ZoneId home, int firstId) {
        return tables.stream()
                .filter(table -> table.serves(method, home))
                .findFirst()
                .orElseGet(
                        () -> {
                            GroupTable table =
                                    new GroupTable(
                                            new TableId(firstId + tables.size()),
                                            this,
                                            method,
                                            home);
                            tables.add(table);
                            return table;
                        });
    }

    /** The levels of another group's like tables hold here too, and are pending. */
    public void takeLevels(ProxyGroup other) {
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
