package rosespread.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.EventHandler;
import rosespread.api.EventHandler.NodeListKind;
import rosespread.api.EventSource;
import rosespread.api.NodeId;
import rosespread.api.PolicyEvent;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.eventloop.PolicyEventLogger;
import rosespread.eventloop.RoundScheduler;
import rosespread.policy.RoutingPolicy;

/**
 * The controller's state on the event loop: it takes the events of sessions and discovery, hands
 * them to the routing policy, and has the policy's actions written. Owned by the event-loop thread,
 * which alone may call it. Times are nanoseconds of {@link System#nanoTime()}.
 */
final class PlatformState {
    /** Sends health checks; their results come back as {@link #healthChecked} events. */
    interface HealthCheckSender {
        /** Starts a check of a listed node; must not block. */
        void checkHealth(NodeId node, NodeEntry entry);
    }

    private static final Logger LOG = LoggerFactory.getLogger(PlatformState.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PlatformConfig config;
    private final HealthCheckSender healthChecks;
    private final PlatformMetrics metrics;
    private final long wallOffset;
    private final RoundScheduler rounds = new RoundScheduler();
    private final RoundScheduler.RoundHandler roundHandler = new PolicyRounds();
    private final NodeNameRegistry nodeNames = new NodeNameRegistry();
    private final PolicyEventLogger policyEvents = new PolicyEventLogger(LOG, nodeNames::nameOf);
    private final NodeDirectory directory = new NodeDirectory(nodeNames);
    private final ProxySessions sessions = new ProxySessions();
    private final LoadReportStatistics statistics = new LoadReportStatistics();
    private final Map<ZoneId, Long> reportsByZone = new TreeMap<>();
    private final UpdateSender sender;
    private RoutingPolicy policy;
    private PlatformUpdateWriter updates;
    private int policyStarts;
    private long now;

    /**
     * Starts with the nodes that the configuration knows and no proxy.
     *
     * @param wallOffset what is added to nanoseconds of the wall clock to have the policy's time;
     *     fixed, so that a node's start always comes out the same
     */
    PlatformState(
            PlatformConfig config,
            HealthCheckSender healthChecks,
            PlatformMetrics metrics,
            long wallOffset) {
        this.config = config;
        this.healthChecks = healthChecks;
        this.metrics = metrics;
        this.wallOffset = wallOffset;
        this.sender = new UpdateSender(sessions, new UpdateEncoder(config.names(), nodeNames));
        Map<NodeId, NodeEntry> known = directory.apply(NodeListKind.CACHED, config.knownNodes());
        logList(NodeListKind.CACHED, config.knownNodes(), known.size());
        startPolicy();
    }

    /** Starts a new policy and replays what is known: the node list and who is joined. */
    private void startPolicy() {
        policy =
                new RoutingPolicy(
                        config.settings(), new SplittableRandom(config.seed() + policyStarts));
        policyStarts++;
        updates =
                new PlatformUpdateWriter(
                        config.settings().methods().size(),
                        directory::possiblyExcluded,
                        new Requests());
        rounds.restart();
        sessions.clearPending();
        publishNodes(NodeListKind.CACHED, directory.listed());
        sessions.forEach(session -> publishJoin(session.join()));
    }

    /**
     * Takes a list of discovery. A full one that names no node while nodes are listed is rejected:
     * it would remove every weight entry on the strength of one answer. What is listed stays, and
     * changes since that version count.
     */
    void nodeListReceived(long time, NodeList list) {
        now = time;
        if (list.full() && list.nodes().isEmpty() && !directory.isEmpty()) {
            LOG.atWarn()
                    .addKeyValue("version", list.version())
                    .addKeyValue("nodes", directory.size())
                    .log("empty node list rejected");
            nodeListUnavailable();
            return;
        }
        NodeListKind kind = list.full() ? NodeListKind.FULL : NodeListKind.INCREMENTAL;
        if (list.full() || !list.nodes().isEmpty()) {
            Map<NodeId, NodeEntry> update = directory.apply(kind, list);
            publishNodes(kind, update);
            logList(kind, list, update.size());
        }
    }

    private void logList(NodeListKind kind, NodeList list, int entries) {
        LOG.atInfo()
                .addKeyValue("kind", kind)
                .addKeyValue("version", list.version())
                .addKeyValue("entries", entries)
                .addKeyValue("nodes", directory.size())
                .addKeyValue("draining", directory.draining())
                .log("node list applied");
    }

    private void publishNodes(NodeListKind kind, Map<NodeId, NodeEntry> entries) {
        rounds.add(handler -> handler.listStarted(kind));
        entries.forEach(this::publishNode);
        rounds.add(EventHandler::listCompleted);
    }

    private void publishNode(NodeId id, NodeEntry entry) {
        long started = policyTime(entry.startedMillis());
        rounds.add(
                handler ->
                        handler.nodeListed(
                                id,
                                config.names().machineType(entry.kind()),
                                config.names().zone(entry.zone()),
                                entry.weight(),
                                entry.state(),
                                started));
    }

    /** Converts a wall time in milliseconds, 0 for long ago, to the policy's time. */
    private long policyTime(long wallMillis) {
        return wallMillis == 0 ? Long.MIN_VALUE : wallMillis * NANOS_PER_MILLI + wallOffset;
    }

    /** Discovery failed; the policy is notified only where the settings say that it polls. */
    void nodeListUnavailable() {
        if (config.settings().listOnDemand()) {
            rounds.add(handler -> handler.listStarted(NodeListKind.UNAVAILABLE));
            rounds.add(EventHandler::listCompleted);
        }
    }

    /** A health check of a node is done. */
    void healthChecked(NodeId node, EventHandler.HealthCheckResult result) {
        rounds.add(handler -> handler.healthChecked(node, result));
    }

    /** A proxy joined; its new session replaces an older one, whose own end may come later. */
    void proxyJoined(long time, ProxyConnection connection, Message.ProxyJoin join) {
        now = time;
        Optional<ProxySession> replaced = sessions.open(connection, join);
        replaced.ifPresent(session -> session.connection().close());
        publishJoin(join);
        LOG.atInfo()
                .addKeyValue("proxy", join.proxy().value())
                .addKeyValue("zone", join.zone().value())
                .addKeyValue("holdsNoTables", join.holdsNoTables())
                .addKeyValue("replacedSession", replaced.isPresent())
                .log("proxy joined");
    }

    private void publishJoin(Message.ProxyJoin join) {
        updates.proxyJoined(join.proxy());
        rounds.add(
                handler ->
                        handler.proxyJoined(join.proxy(), join.zone(), join.requestsPerSecond()));
    }

    /** A connection closed; the late end of one that was replaced ends nothing. */
    void connectionClosed(long time, ProxyConnection connection, ProxyId proxy) {
        now = time;
        if (sessions.close(proxy, connection)) {
            updates.proxyLeft(proxy);
            rounds.add(handler -> handler.proxyLeft(proxy));
            LOG.atInfo().addKeyValue("proxy", proxy.value()).log("proxy left");
        }
    }

    /** An acknowledgement counts only on the connection that carried its token. */
    void acknowledged(
            long time, ProxyConnection connection, Message.Acknowledgement acknowledgement) {
        now = time;
        OptionalInt settled = sessions.acknowledge(connection, acknowledgement);
        if (settled.isPresent()) {
            int policyToken = settled.getAsInt();
            rounds.add(
                    handler ->
                            handler.acknowledged(
                                    acknowledgement.proxy(),
                                    policyToken,
                                    acknowledgement.latencyNanos()));
        }
    }

    /** A load report of a zone; one for a node that was never listed is dropped and counted. */
    void loadReported(long time, Message.LoadReport report) {
        now = time;
        NodeId node = nodeNames.find(report.node()).orElse(null);
        if (node == null) {
            metrics.countDropped(MalformedMessageException.Reason.UNKNOWN);
            return;
        }
        reportsByZone.merge(report.zone(), 1L, Long::sum);
        statistics.add(node, report);
        rounds.add(
                handler ->
                        handler.loadReported(
                                node,
                                report.zone(),
                                report.attempts(),
                                report.failures(),
                                report.latencySeconds(),
                                report.periodNanos(),
                                report.utilization()));
    }

    /** A report of the demand that came to a proxy. */
    void demandReported(long time, Message.DemandReport report) {
        now = time;
        statistics.add(report);
        rounds.add(
                handler ->
                        handler.demandReported(
                                report.proxy(),
                                report.method(),
                                report.requests(),
                                report.periodNanos()));
    }

    /** Runs a round if one is due; returns when to come back. */
    long runDue(long time) {
        now = time;
        return rounds.runDue(now, roundHandler);
    }

    /** The state's counts, as of the latest event. */
    PlatformStatus status() {
        return new PlatformStatus(
                sessions.size(),
                updates.subscribedProxies(),
                updates.excludedNodes(),
                directory.size(),
                rounds.roundsRun(),
                rounds.maxNanos(),
                sender.messages(),
                sender.bytes(),
                sessions.pendingAcknowledgements(),
                sessions.maxPendingNanos(now),
                sessions.unmatchedAcknowledgements(),
                Map.copyOf(reportsByZone));
    }

    /** Each listed node with its weight and what load reports said of it since the last totals. */
    List<NodeStatus> nodeStatuses() {
        List<NodeStatus> all = new ArrayList<>();
        directory.forEach(
                (id, entry) ->
                        all.add(new NodeStatus(entry, updates.weightOf(id), statistics.of(id))));
        return all;
    }

    /** Totals of all reports since the last call. */
    LoadReportStatistics.Totals takeReportTotals() {
        return statistics.takeTotals();
    }

    /**
     * Plays rounds. A policy that throws has lost its place: a new one starts, as after a crash.
     */
    private final class PolicyRounds implements RoundScheduler.RoundHandler {
        @Override
        public void runRound(EventSource events) {
            policy.round(now, events, updates);
            updates.finishRound(sender.startRound(now));
        }

        @Override
        public void roundFailed(Throwable cause) {
            LOG.error("policy failed and restarts", cause);
            startPolicy();
        }
    }

    /** What the policy asks for besides updates. */
    private final class Requests implements PlatformUpdateWriter.PolicyRequests {
        @Override
        public void checkHealth(NodeId node) {
            NodeEntry entry = directory.find(node);
            if (entry != null) {
                healthChecks.checkHealth(node, entry);
            }
        }

        /** Discovery is watched from the start on, so there is nothing to begin. */
        @Override
        public void watchNodes() {}

        @Override
        public void startTimer(long nanos) {
            rounds.scheduleAt(now + nanos);
        }

        @Override
        public void report(PolicyEvent event) {
            policyEvents.log(event);
        }
    }
}
