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
 * Takes the node lists of discovery, and works out what the policy gets: nodes that operators drain
 * look like nodes that discovery calls draining.
 *
 * <p>Owned by the event-loop thread.
 */
final class NodeListHandler {
    private static final Logger LOG = LoggerFactory.getLogger(NodeListHandler.class);

    /** Who ends the drain of a node that is no longer listed; stands in persisted drains. */
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

    /** Takes a complete list. */
    void nodesListed(List<ListedNode> nodes) {
        context.counters().increment(Counter.NODE_LISTS);
        unavailableReason = "";
        Set<NodeId> before = directory.replaceDiscovered(nodes);
        endDrainsOfUnlisted(before);
        refresh();
    }

    /**
     * A node that is no longer listed needs no drain; one that comes back is a new one. Only nodes
     * that were listed here count: this list may be behind the one by which the drain was ordered.
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

    /** Works the listed nodes out again, as the list or drains changed, and publishes them. */
    void refresh() {
        if (directory.refreshListed(registry.drains()::drains)) {
            facts.recordLargeChangeCause();
        }
        policyRunner.writer().ifPresent(this::publish);
    }

    private void publish(TableUpdateWriter writer) {
        directory.forgetUnlisted(id -> writer.excluded().contains(id) || writer.hasWeightFor(id));
        facts.retainKnownNodes();
        publisher.publish(EventHandler.NodeListKind.FULL);
    }

    /** No list can be had; the last one stays. */
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

    /** Returns why no list can be had, empty if the last one came. */
    String unavailableReason() {
        return unavailableReason;
    }
}
