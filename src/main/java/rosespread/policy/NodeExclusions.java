package rosespread.policy;

import rosespread.policy.state.Node;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;

/**
 * Excludes nodes that left for proxies that are not subscribed yet, as those may still hold them;
 * includes them again once a table names them.
 */
final class NodeExclusions {
    /** What an exclusion takes of the channel besides the message's overhead, and spare. */
    private static final double ENTRIES = 2;

    private final ProxyRegistry proxies;
    private final ShardRegistry shards;
    private final ChannelBudget budget;
    private final OutgoingRound outgoing;
    private final ReconnectHandler reconnects;

    NodeExclusions(
            ProxyRegistry proxies,
            ShardRegistry shards,
            ChannelBudget budget,
            OutgoingRound outgoing,
            ReconnectHandler reconnects) {
        this.proxies = proxies;
        this.shards = shards;
        this.budget = budget;
        this.outgoing = outgoing;
        this.reconnects = reconnects;
    }

    /** Excludes or includes a node whose entries have changed. */
    void update(Node node, RoundContext round) {
        boolean held = shards.tables().stream().anyMatch(table -> table.holds(node.id()));
        if (node.excluded() ? held : !held && !node.ready() && mayExclude()) {
            node.setExcluded(!held);
            round.actions().setExcluded(node.id(), node.excluded());
            proxies.unsubscribed().forEach(proxy -> outgoing.add(proxy, 1));
        }
    }

    private boolean mayExclude() {
        int messages = proxies.unsubscribed().size();
        return messages > 0
                && !reconnects.inProgress()
                && messages * (budget.messageOverhead() + ENTRIES) < budget.capacityForRemovals();
    }
}
