package rosespread.controller;

import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.EventHandler;
import rosespread.discovery.ListedNode;
import rosespread.drain.Drain;
import rosespread.drain.DrainGuard;
import rosespread.drain.DrainRegistry;
import rosespread.settings.FleetSettings;

/**
 * Handles operators' requests to drain a node or to end a drain, and merges drains that other
 * controllers know of.
 *
 * <p>Used on the event-loop thread.
 */
final class DrainHandler {
    private static final Logger LOG = LoggerFactory.getLogger(DrainHandler.class);

    private final TableRegistry registry;
    private final NodeDirectory directory;
    private final NodeListHandler nodeList;
    private final PolicyRunner policyRunner;
    private final EventClock clock;

    DrainHandler(
            TableRegistry registry,
            NodeDirectory directory,
            NodeListHandler nodeList,
            PolicyRunner policyRunner,
            EventClock clock) {
        this.registry = registry;
        this.directory = directory;
        this.nodeList = nodeList;
        this.policyRunner = policyRunner;
        this.clock = clock;
    }

    /**
     * Drains a node or ends its drain. A request has effect once per request id, only if no drain
     * changed since the revision that it names, and only if the drain guard allows it.
     */
    DrainResult drain(DrainRequest request) {
        DrainRegistry drains = registry.drains();
        if (drains.findByRequestId(request.id()).isPresent()) {
            return DrainResult.done(drains.revision(), true);
        }
        List<Drain> newerDrains =
                request.revision() < 0 ? List.of() : drains.changesSince(request.revision());
        if (!newerDrains.isEmpty()) {
            return rejected(
                    DrainResult.Kind.STALE,
                    newerDrains.stream().map(DrainHandler::description).toList());
        }
        List<ListedNode> matching =
                directory.discovered().stream().filter(request::matches).toList();
        if (matching.isEmpty()) {
            return rejected(
                    DrainResult.Kind.NO_NODE,
                    List.of(
                            "no node "
                                    + request.node()
                                    + " among "
                                    + directory.discovered().size()
                                    + " listed"));
        }
        if (matching.size() > 1) {
            return rejected(
                    DrainResult.Kind.AMBIGUOUS,
                    matching.stream().map(DrainRequest::qualifiedName).toList());
        }
        ListedNode node = matching.get(0);
        List<String> violations = violations(request, node);
        if (!violations.isEmpty()) {
            return rejected(DrainResult.Kind.GUARDED, violations);
        }
        apply(request, node);
        return DrainResult.done(drains.revision(), false);
    }

    private DrainResult rejected(DrainResult.Kind kind, List<String> reasons) {
        return new DrainResult(kind, registry.drains().revision(), reasons);
    }

    private static String description(Drain drain) {
        return drain.name()
                + (drain.on() ? " was drained by " : " was undrained by ")
                + drain.by()
                + " (revision "
                + drain.stamp()
                + ")";
    }

    /**
     * Returns why the drain guard rejects a request; empty if the guard allows it, for a request
     * that is forced or ends a drain, and before any settings.
     */
    private List<String> violations(DrainRequest request, ListedNode node) {
        if (!request.on() || request.force() || policyRunner.settings().isEmpty()) {
            return List.of();
        }
        FleetSettings settings = policyRunner.settings().get();
        return new DrainGuard(settings.minCapacityRatioWhileDraining())
                .violations(
                        node.name(),
                        directory.listed().stream().map(DrainHandler::guardNode).toList(),
                        settings.methods().stream().map(DrainHandler::guardMethod).toList());
    }

    private static DrainGuard.Node guardNode(ListedNode node) {
        return new DrainGuard.Node(
                node.name(),
                node.zone(),
                node.machineType(),
                node.weight(),
                node.state() == EventHandler.NodeState.READY);
    }

    private static DrainGuard.Method guardMethod(FleetSettings.Method method) {
        return new DrainGuard.Method(
                method.name(),
                Set.copyOf(method.allowedMachineTypes()),
                Set.copyOf(method.allowedZones()));
    }

    private void apply(DrainRequest request, ListedNode node) {
        registry.applyDrain(
                new Drain(
                        node.id(),
                        node.name(),
                        request.on(),
                        registry.drains().nextStamp(),
                        request.operator(),
                        request.id(),
                        clock.wallMillis()));
        LOG.atInfo()
                .addKeyValue("node", node.name())
                .addKeyValue("operator", request.operator())
                .log(request.on() ? "drain ordered" : "drain ended");
        nodeList.refresh();
    }

    /** Applies drains received from another controller; returns how many changed anything. */
    int merge(List<Drain> drains) {
        int changes = 0;
        for (Drain drain : drains) {
            if (drain.supersedes(registry.drains().latest(drain.node()).orElse(null))
                    && registry.applyDrain(drain)) {
                changes++;
                LOG.atInfo()
                        .addKeyValue("node", drain.name())
                        .addKeyValue("operator", drain.by())
                        .log(
                                drain.on()
                                        ? "drain received from a peer"
                                        : "end of drain received from a peer");
            }
        }
        if (changes > 0 && directory.isListReceived()) {
            nodeList.refresh();
        }
        return changes;
    }

    /** Returns the latest drain, or end of a drain, of each node. */
    List<Drain> drains() {
        return List.copyOf(registry.drains().allLatest());
    }
}
