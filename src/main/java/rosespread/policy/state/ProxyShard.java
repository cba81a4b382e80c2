package rosespread.policy.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;
import rosespread.api.MethodId;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;

/**
 * Proxies that share tables. Proxies that were moved elsewhere follow the shard's tables until they
 * are subscribed there, so that members and followers may differ; {@link Proxy} keeps both.
 */
public final class ProxyShard {
    private final List<ShardTable> tables = new ArrayList<>();
    private final List<ShardTable> tablesView = Collections.unmodifiableList(tables);
    private final TreeMap<ProxyId, Proxy> members = new TreeMap<>();
    private long deliveredAt = Node.NEVER;
    private int followers;

    /**
     * Creates a table for each set of methods open to the same nodes, one a zone where methods stay
     * in the proxy's own.
     *
     * @param settings name the methods
     * @param firstTable number of the first table; the others follow on
     */
    public ProxyShard(PolicySettings settings, int firstTable) {
        for (int m = 0; m < settings.methods().size(); m++) {
            PolicySettings.Method method = settings.methods().get(m);
            for (int zone = 0; zone < (method.localZoneOnly() ? settings.zones() : 1); zone++) {
                ZoneId localZone = method.localZoneOnly() ? new ZoneId(zone) : null;
                tableFor(method, localZone, firstTable).addMethod(new MethodId(m));
            }
        }
    }

    private ShardTable tableFor(PolicySettings.Method method, ZoneId localZone, int firstTable) {
        return tables.stream()
                .filter(table -> table.serves(method, localZone))
                .findFirst()
                .orElseGet(() -> addTable(method, localZone, firstTable));
    }

    private ShardTable addTable(PolicySettings.Method method, ZoneId localZone, int firstTable) {
        int index = tables.size();
        TableId id = new TableId(firstTable + index);
        ShardTable table = new ShardTable(id, this, index, method, localZone);
        tables.add(table);
        return table;
    }

    /** The shard's tables; like ones have the same place in all shards. */
    public List<ShardTable> tables() {
        return tablesView;
    }

    /** The proxies that are to have its tables, in order. */
    public Collection<Proxy> members() {
        return members.values();
    }

    /** How many proxies are to have its tables. */
    public int size() {
        return members.size();
    }

    /** The members that are subscribed, in order. */
    public List<Proxy> subscribedMembers() {
        return members.values().stream().filter(Proxy::subscribed).toList();
    }

    void addMember(Proxy proxy) {
        members.put(proxy.id(), proxy);
    }

    void removeMember(Proxy proxy) {
        members.remove(proxy.id());
    }

    void addFollower() {
        followers++;
    }

    void removeFollower() {
        followers--;
    }

    /** The admission limits of another shard's like tables hold here too, and are pending. */
    public void copyAdmissionLimits(ProxyShard other) {
        for (int i = 0; i < tables.size(); i++) {
            tables.get(i).copyAdmissionLimits(other.tables.get(i));
        }
    }

    /** Whether no proxy follows it, so that its tables can be written again at no cost. */
    public boolean withoutFollowers() {
        return followers == 0;
    }

    /**
     * Whether all members were moved elsewhere while some still follow the tables: until they are
     * subscribed there, what is written here goes to them.
     */
    public boolean abandoned() {
        return members.isEmpty() && !withoutFollowers();
    }

    /** How many proxies get what is written to its tables. */
    public int followers() {
        return followers;
    }

    /** How many entries all its tables have at the proxies. */
    public int deliveredEntries() {
        return tables.stream().mapToInt(table -> table.delivered().size()).sum();
    }

    /** When a delivery last left for it, {@link Node#NEVER} before the first. */
    public long deliveredAt() {
        return deliveredAt;
    }

    /** Notes that a delivery leaves. */
    public void deliveryStarted(long now) {
        deliveredAt = now;
    }
}
