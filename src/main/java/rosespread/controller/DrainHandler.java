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
 * Takes drains that operators order or end here, and those that other controllers know of.
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
     * Drains a node or ends its drain: once for each request id, only against the revision that the
     * request names, and not if the guard objects.
     */
    DrainResult drain(DrainRequest request) {
        DrainRegistry drains = registry.drains();
        if (drains.findByRequestId(request.id()).isPresent()) {
            return DrainResult.done(drains.revision(), true);
        }
        List<Drain> changes =
                request.revision() < 0 ? List.of() : drains.changesSince(request.revision());
        if (!changes.isEmpty()) {
            return rejected(
                    DrainResult.Kind.STALE,
                    changes.stream().map(DrainHandler::description).toList());
        }
        List<ListedNode> named = directory.discovered().stream().filter(request::names).toList();
        if (named.isEmpty()) {
            return rejected(
                    DrainResult.Kind.NO_NODE,
                    List.of(
                            "no node "
                                    + request.node()
                                    + " among "
                                    + directory.discovered().size()
                                    + " listed"));
        }
        if (named.size() > 1) {
            return rejected(
                    DrainResult.Kind.AMBIGUOUS,
                    named.stream().map(DrainRequest::qualifiedName).toList());
        }
        ListedNode node = named.get(0);
        List<String> objections = objections(request, node);
        if (!objections.isEmpty()) {
            return rejected(DrainResult.Kind.GUARDED, objections);
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

    /** Returns what the guard has against a drain; nothing if it is forced or ends one. */
    private List<String> objections(DrainRequest request, ListedNode node) {
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
                        request.by(),
                        request.id(),
                        clock.wallMillis()));
        LOG.atInfo()
                .addKeyValue("node", node.name())
                .addKeyValue("operator", request.by())
                .log(request.on() ? "drain ordered" : "drain ended");
        nodeList.refresh();
    }

    /** Applies drains that another controller knows of; returns how many change anything. */
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
                                        ? "drain learned from a peer"
                                        : "drain end learned from a peer");
            }
        }
        if (changes > 0 && directory.isListReceived()) {
            nodeList.refresh();
        }
        return changes;
    }

    /** Returns the last drain or end of a drain of each node. */
    List<Drain> drains() {
        return List.copyOf(registry.drains().allLatest());
    }
}
