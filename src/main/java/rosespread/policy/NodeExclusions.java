package rosespread.policy;

import rosespread.policy.state.Node;
import rosespread.policy.state.ProxyRegistry;
import rosespread.policy.state.ShardRegistry;

/**
 * Tells the proxies that are not subscribed yet, and may still have entries of nodes that left, to
 * exclude these nodes; readmits a node once a table has an entry of the node again.
 */
final class NodeExclusions {
    /**
     * Number of entries planned for an exclusion besides the message's overhead: the one that it
     * occupies and one in reserve.
     */
    private static final double EXCLUSION_ENTRIES = 2;

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

    /** Excludes or readmits a node whose entries have changed, if needed. */
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
                && messages * (budget.messageOverhead() + EXCLUSION_ENTRIES)
                        < budget.capacityForRemovals();
    }
}
