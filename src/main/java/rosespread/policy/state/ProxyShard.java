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
 * A group of proxies that share tables. Members are the proxies assigned to the shard; followers
 * are the proxies that receive the updates of its tables. Members and followers differ while a
 * proxy that was moved to another shard is not subscribed there yet. {@link Proxy} updates both.
 */
public final class ProxyShard {
    private final List<ShardTable> tables = new ArrayList<>();
    private final List<ShardTable> tablesView = Collections.unmodifiableList(tables);
    private final TreeMap<ProxyId, Proxy> members = new TreeMap<>();
    private long deliveredAt = Node.NEVER;
    private int followers;

    /**
     * Creates a table for each set of methods open to the same nodes; for methods restricted to the
     * proxy's own zone, creates one table per zone.
     *
     * @param settings settings that list the methods and the number of zones
     * @param firstTable number of the first table; the other tables get the following numbers
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

    /** The shard's tables; tables for the same methods have the same index in all shards. */
    public List<ShardTable> tables() {
        return tablesView;
    }

    /** The proxies assigned to the shard, in order. */
    public Collection<Proxy> members() {
        return members.values();
    }

    /** Number of proxies assigned to the shard. */
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

    /**
     * Copies the admission limits of another shard's tables to the tables with the same index in
     * this shard; the copied limits are pending.
     */
    public void copyAdmissionLimits(ProxyShard other) {
        for (int i = 0; i < tables.size(); i++) {
            tables.get(i).copyAdmissionLimits(other.tables.get(i));
        }
    }

    /**
     * Whether no proxy receives the updates of the tables, so that writing the tables again uses no
     * channel capacity.
     */
    public boolean withoutFollowers() {
        return followers == 0;
    }

    /**
     * Whether all members were moved to other shards while some of these proxies are not subscribed
     * in their new shards yet and still receive the updates of this shard's tables.
     */
    public boolean abandoned() {
        return members.isEmpty() && !withoutFollowers();
    }

    /** Number of proxies that receive the updates of the shard's tables. */
    public int followers() {
        return followers;
    }

    /** Number of delivered weight entries in all of the shard's tables. */
    public int deliveredEntries() {
        return tables.stream().mapToInt(table -> table.delivered().size()).sum();
    }

    /** Clock reading of the shard's last delivery, {@link Node#NEVER} before the first. */
    public long deliveredAt() {
        return deliveredAt;
    }

    /** Records the start of a delivery to the shard. */
    public void deliveryStarted(long now) {
        deliveredAt = now;
    }
}
