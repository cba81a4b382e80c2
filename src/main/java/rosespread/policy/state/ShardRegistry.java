package rosespread.policy.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import rosespread.api.PolicySettings;

/** All shards of the proxy fleet and all of their tables, in the order of creation. */
public final class ShardRegistry {
    private final PolicySettings settings;
    private final List<ProxyShard> shards = new ArrayList<>();
    private final List<ShardTable> tables = new ArrayList<>();
    private final List<ProxyShard> shardsView = Collections.unmodifiableList(shards);
    private final List<ShardTable> tablesView = Collections.unmodifiableList(tables);

    /** Creates a registry with one shard, which is never removed. */
    public ShardRegistry(PolicySettings settings) {
        this.settings = settings;
        addShard();
    }

    /** Adds a shard without members and copies the admission limits of the first shard to it. */
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
     * The tables of the first shard. They represent the tables with the same index in all shards,
     * which allow the same nodes and have the same desired weights.
     */
    public List<ShardTable> firstTables() {
        return shards.get(0).tables();
    }
}
