package rosespread.controller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import rosespread.api.NodeId;
import rosespread.controller.ControllerCounters.Counter;
import rosespread.discovery.ListedNode;
import rosespread.drain.Drain;
import rosespread.settings.FleetSettings;
import rosespread.validation.DurabilityTimeout;

/**
 * Gathers the controller's status. Called on the event-loop thread; the returned status is a copy
 * that shares no data with the controller.
 */
final class ControllerStatusReader {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final long NANOS_PER_MILLI_LONG = 1_000_000L;

    /**
     * Number of report periods without a load report after which a proxy is counted in {@link
     * ControllerStatus.Node#unheard()}, as the proxy may have made attempts that the controller
     * does not know of.
     */
    private static final int MAX_MISSED_REPORTS = 3;

    private static final long NO_ATTEMPT = -1;

    private final PolicyRunner policyRunner;
    private final SessionRegistry sessions;
    private final NodeDirectory directory;
    private final NodeListHandler nodeList;
    private final TableRegistry registry;
    private final TableStatusReader tables;
    private final LoopContext context;

    ControllerStatusReader(
            PolicyRunner policyRunner,
            SessionRegistry sessions,
            NodeDirectory directory,
            NodeListHandler nodeList,
            TableRegistry registry,
            TableStatusReader tables,
            LoopContext context) {
        this.policyRunner = policyRunner;
        this.sessions = sessions;
        this.directory = directory;
        this.nodeList = nodeList;
        this.registry = registry;
        this.tables = tables;
        this.context = context;
    }

    /** Returns the current status. */
    ControllerStatus read() {
        Optional<PacedChannel> channel = policyRunner.channel();
        Collection<ProxySession> joined = sessions.joined().values();
        return new ControllerStatus(
                policyRunner.settings().isEmpty() ? "waiting for settings" : "serving",
                joined.size(),
                (int) joined.stream().filter(ProxySession::isSubscribed).count(),
                channel.map(PacedChannel::queuedEntries).orElse(0L),
                channel.map(PacedChannel::maxQueuedEntries).orElse(0L),
                channel.map(PacedChannel::messagesSent).orElse(0L),
                context.rounds().roundsRun(),
                context.rounds().meanNanos() / NANOS_PER_MILLI,
                context.rounds().maxNanos() / NANOS_PER_MILLI,
                context.counters().value(Counter.JOINS),
                context.counters().value(Counter.STRAY_ACKNOWLEDGEMENTS),
                context.counters().value(Counter.UNKNOWN_NODE_REPORTS),
                context.rounds().failures(),
                context.counters().value(Counter.MISSED_DELTAS),
                context.counters().value(Counter.SILENT_SESSIONS),
                context.counters().value(Counter.SLOW_SESSIONS),
                context.counters().value(Counter.NODE_LISTS),
                context.counters().value(Counter.NODE_LIST_FAILURES),
                nodeList.unavailableReason(),
                context.modes().last(),
                nodes(),
                tables.readAll(),
                joined.stream().map(this::proxy).toList(),
                storage());
    }

    private List<ControllerStatus.Node> nodes() {
        int proxiesWithoutReports =
                policyRunner.settings().map(this::sessionsWithoutReports).orElse(0);
        Set<NodeId> excluded =
                policyRunner.writer().map(TableUpdateWriter::excluded).orElse(Set.of());
        List<ControllerStatus.Node> nodes = new ArrayList<>();
        for (ListedNode node : directory.listed()) {
            nodes.add(
                    new ControllerStatus.Node(
                            node.name(),
                            node.host() + ":" + node.port(),
                            node.zone(),
                            node.machineType(),
                            node.state().name(),
                            excluded.contains(node.id()),
                            drainedBy(node.id()),
                            millisSinceLastAttempt(node.id()),
                            proxiesWithoutReports));
        }
        return nodes;
    }

    private int sessionsWithoutReports(FleetSettings settings) {
        long limitNanos = MAX_MISSED_REPORTS * settings.reportPeriodNanos();
        return (int)
                sessions.joined().values().stream()
                        .filter(
                                session ->
                                        context.clock().nowNanos() - session.lastLoadReportAtNanos()
                                                > limitNanos)
                        .count();
    }

    private String drainedBy(NodeId node) {
        return registry.drains().latest(node).filter(Drain::on).map(Drain::by).orElse("");
    }

    private long millisSinceLastAttempt(NodeId node) {
        return directory.lastAttemptNanos(node).map(this::millisSince).orElse(NO_ATTEMPT);
    }

    private ControllerStatus.Proxy proxy(ProxySession session) {
        return new ControllerStatus.Proxy(
                session.name(),
                session.unacknowledgedMessages(),
                session.messagesWritten(),
                millisSince(session.lastFrameReceivedAtNanos()),
                session.subscribedTables().size());
    }

    private long millisSince(long nanos) {
        return (context.clock().nowNanos() - nanos) / NANOS_PER_MILLI_LONG;
    }

    private ControllerStatus.Storage storage() {
        Optional<DurabilityTimeout> timeout =
                policyRunner.channel().map(PacedChannel::durabilityTimeout);
        return new ControllerStatus.Storage(
                registry.log().fault(),
                timeout.map(DurabilityTimeout::isDiskLate).orElse(false),
                Math.max(0, registry.lastSequence() - registry.log().durable()),
                timeout.map(DurabilityTimeout::sentBeforeDurable).orElse(0L),
                registry.log().bytes());
    }
}
