package rosespread.controller;

import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.EventHandler;
import rosespread.api.NodeId;
import rosespread.controller.ControllerCounters.Counter;
import rosespread.discovery.ListedNode;
import rosespread.drain.Drain;

/**
 * Handles node lists from discovery and passes the nodes on to the policy. Nodes that operators
 * drain have the same state there as nodes that discovery lists as draining.
 *
 * <p>Owned by the event-loop thread.
 */
final class NodeListHandler {
    private static final Logger LOG = LoggerFactory.getLogger(NodeListHandler.class);

    /** Operator name in persisted drains that were ended because the node is no longer listed. */
    private static final String LIST_OPERATOR = "list";

    private final NodeDirectory directory;
    private final NodeFacts facts;
    private final NodeListPublisher publisher;
    private final TableRegistry registry;
    private final PolicyRunner policyRunner;
    private final LoopContext context;
    private String unavailableReason = "";

    NodeListHandler(
            NodeDirectory directory,
            NodeFacts facts,
            NodeListPublisher publisher,
            TableRegistry registry,
            PolicyRunner policyRunner,
            LoopContext context) {
        this.directory = directory;
        this.facts = facts;
        this.publisher = publisher;
        this.registry = registry;
        this.policyRunner = policyRunner;
        this.context = context;
    }

    /** Handles a complete list of nodes. */
    void nodesListed(List<ListedNode> nodes) {
        context.counters().increment(Counter.NODE_LISTS);
        unavailableReason = "";
        Set<NodeId> before = directory.replaceDiscovered(nodes);
        endDrainsOfUnlisted(before);
        refresh();
    }

    /**
     * Ends the drains of nodes that are no longer listed: such a node needs no drain, and a node
     * that is listed again later counts as a new one. Only nodes of the previous list are
     * considered: this controller's list may be older than the list on which an operator ordered
     * the drain, and may not have the node yet.
     */
    private void endDrainsOfUnlisted(Set<NodeId> listedBefore) {
        for (Drain drain : List.copyOf(registry.drains().allLatest())) {
            if (drain.on()
                    && listedBefore.contains(drain.node())
                    && !directory.isDiscovered(drain.node())) {
                endDrain(drain);
            }
        }
    }

    private void endDrain(Drain drain) {
        long stamp = registry.drains().nextStamp();
        registry.applyDrain(
                new Drain(
                        drain.node(),
                        drain.name(),
                        false,
                        stamp,
                        LIST_OPERATOR,
                        "gone-" + stamp,
                        context.clock().wallMillis()));
        LOG.atInfo()
                .addKeyValue("node", drain.name())
                .addKeyValue("operator", drain.by())
                .log("drain ended: the node is no longer listed");
    }

    /** Computes the listed nodes again after the list or drains changed, and publishes them. */
    void refresh() {
        if (directory.refreshListed(registry.drains()::drains)) {
            facts.recordLargeChangeCause();
        }
        policyRunner.writer().ifPresent(this::publish);
    }

    private void publish(TableUpdateWriter writer) {
        directory.removeUnlisted(id -> writer.excluded().contains(id) || writer.hasWeightFor(id));
        facts.retainKnownNodes();
        publisher.publish(EventHandler.NodeListKind.FULL);
    }

    /** Handles that no list is available; the last one stays in use. */
    void unavailable(String reason) {
        context.counters().increment(Counter.NODE_LIST_FAILURES);
        if (unavailableReason.isEmpty()) {
            LOG.atWarn()
                    .addKeyValue("reason", reason)
                    .addKeyValue("count", directory.listed().size())
                    .log("node list unavailable; keeping the last one");
        }
        unavailableReason = reason;
        publisher.publishUnavailable();
    }

    /** Returns why no list is available; empty if the last request for a list succeeded. */
    String unavailableReason() {
        return unavailableReason;
    }
}
