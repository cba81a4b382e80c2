package rosespread.controller;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rosespread.api.EventHandler;
import rosespread.api.NodeId;
import rosespread.discovery.ListedNode;
import rosespread.eventloop.RoundScheduler;

/**
 * Passes the listed nodes to the policy as an event of its next round.
 *
 * <p>Used on the event-loop thread.
 */
final class NodeListPublisher {
    private final NodeDirectory directory;
    private final NodeStartTimes startTimes;
    private final FleetNames names;
    private final RoundScheduler rounds;

    NodeListPublisher(
            NodeDirectory directory,
            NodeStartTimes startTimes,
            FleetNames names,
            RoundScheduler rounds) {
        this.directory = directory;
        this.startTimes = startTimes;
        this.names = names;
        this.rounds = rounds;
    }

    /** Publishes a copy of the currently listed nodes. */
    void publish(EventHandler.NodeListKind kind) {
        List<ListedNode> nodes = List.copyOf(directory.listed());
        Map<NodeId, Long> startNanos = new TreeMap<>();
        nodes.forEach(node -> startNanos.put(node.id(), startTimes.startedNanos(node)));
        rounds.add(
                policy -> {
                    policy.listStarted(kind);
                    for (ListedNode node : nodes) {
                        policy.nodeListed(
                                node.id(),
                                names.machineType(node.machineType()),
                                names.zone(node.zone()),
                                node.weight(),
                                node.state(),
                                startNanos.get(node.id()));
                    }
                    policy.listCompleted();
                });
    }

    /** Publishes that no list is available; the last one stays in use. */
    void publishUnavailable() {
        rounds.add(
                policy -> {
                    policy.listStarted(EventHandler.NodeListKind.UNAVAILABLE);
                    policy.listCompleted();
                });
    }
}
