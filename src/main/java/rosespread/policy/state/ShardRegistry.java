package rosespread.policy.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import rosespread.api.PolicySettings;

/** The shards of the fleet of proxies and the tables of all of them, in the order of creation. */
public final class ShardRegistry {
    private final PolicySettings settings;
    private final List<ProxyShard> shards = new ArrayList<>();
    private final List<ShardTable> tables = new ArrayList<>();
    private final List<ProxyShard> shardsView = Collections.unmodifiableList(shards);
    private final List<ShardTable> tablesView = Collections.unmodifiableList(tables);

    /** Creates a registry with one shard, which stays. */
    public ShardRegistry(PolicySettings settings) {
        this.settings = settings;
        addShard();
    }

    /** Adds a shard without members; the admission limits of the first shard hold there too. */
    public ProxyShard addShard() {
        ProxyShard shard = new ProxyShard(settings, tables.size() + 1);
        if (!shards.isEmpty()) {
            shard.copyAdmissionLimits(shards.get(0));
        }
        tables.addAll(shard.tables());
        shards.add(shard);
        return shard;
    }

    /** All shards. */
    public List<ProxyShard> shards() {
        return shardsView;
    }

    /** The tables of all shards. */
    public List<ShardTable> tables() {
        return tablesView;
    }

    /**
     * The tables of the first shard: which nodes are allowed in a table and what it should say is
     * the same in each shard.
     */
    public List<ShardTable> firstTables() {
        return shards.get(0).tables();
    }
}
