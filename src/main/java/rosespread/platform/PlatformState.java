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
 * The controller's state on the event loop. Passes the events of sessions and discovery to the
 * routing policy, and has the policy's actions written to the sessions. Owned by the event-loop
 * thread, which alone may call it. Times are nanoseconds of {@link System#nanoTime()}.
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
    private final long wallClockOffsetNanos;
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
     * Starts with the nodes that the configuration lists and without proxies.
     *
     * @param wallClockOffsetNanos offset from wall-clock nanoseconds to the policy's time; fixed,
     *     so that a node's start time always converts to the same value
     */
    PlatformState(
            PlatformConfig config,
            HealthCheckSender healthChecks,
            PlatformMetrics metrics,
            long wallClockOffsetNanos) {
        this.config = config;
        this.healthChecks = healthChecks;
        this.metrics = metrics;
        this.wallClockOffsetNanos = wallClockOffsetNanos;
        this.sender = new UpdateSender(sessions, new UpdateEncoder(config.names(), nodeNames));
        Map<NodeId, NodeEntry> known = directory.apply(NodeListKind.CACHED, config.knownNodes());
        logList(NodeListKind.CACHED, config.knownNodes(), known.size());
        startPolicy();
    }

    /** Starts a new policy and gives it the known state: the node list and the joined proxies. */
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
     * Applies a node list from discovery. An empty full list is rejected while nodes are listed,
     * because a single wrong answer would otherwise remove every weight entry. The listed nodes
     * then stay, and changes since the version of the rejected list still apply.
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

    /** Converts wall-clock milliseconds, 0 for long ago, to the policy's time. */
    private long policyTime(long wallMillis) {
        return wallMillis == 0
                ? Long.MIN_VALUE
                : wallMillis * NANOS_PER_MILLI + wallClockOffsetNanos;
    }

    /**
     * Handles a failed poll of discovery. The policy is notified only if the settings have it
     * request node lists.
     */
    void nodeListUnavailable() {
        if (config.settings().listOnDemand()) {
            rounds.add(handler -> handler.listStarted(NodeListKind.UNAVAILABLE));
            rounds.add(EventHandler::listCompleted);
        }
    }

    /** Handles the result of a health check of a node. */
    void healthChecked(NodeId node, EventHandler.HealthCheckResult result) {
        rounds.add(handler -> handler.healthChecked(node, result));
    }

    /** Handles a join. The new session replaces an older one, whose close event may come later. */
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

    /** Handles a closed connection; ignores one whose session was replaced before. */
    void connectionClosed(long time, ProxyConnection connection, ProxyId proxy) {
        now = time;
        if (sessions.close(proxy, connection)) {
            updates.proxyLeft(proxy);
            rounds.add(handler -> handler.proxyLeft(proxy));
            LOG.atInfo().addKeyValue("proxy", proxy.value()).log("proxy left");
        }
    }

    /** Handles an acknowledgement; it counts only on the connection that carried its token. */
    void acknowledged(
            long time, ProxyConnection connection, Message.Acknowledgement acknowledgement) {
        now = time;
        OptionalInt matchedToken = sessions.acknowledge(connection, acknowledgement);
        if (matchedToken.isPresent()) {
            int policyToken = matchedToken.getAsInt();
            rounds.add(
                    handler ->
                            handler.acknowledged(
                                    acknowledgement.proxy(),
                                    policyToken,
                                    acknowledgement.latencyNanos()));
        }
    }

    /** Handles a load report; one for a node that was never listed is dropped and counted. */
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

    /** Handles a report of the demand at a proxy. */
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

    /** Runs a round if one is due; returns when to call again. */
    long runDue(long time) {
        now = time;
        return rounds.runDue(now, roundHandler);
    }

    /** Returns the state's counts, as of the latest event. */
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
                Math.round(policy.queuedEntries()),
                sessions.unmatchedAcknowledgements(),
                Map.copyOf(reportsByZone));
    }

    /** Returns each listed node with its weight and its load reports since the last totals. */
    List<NodeStatus> nodeStatuses() {
        List<NodeStatus> all = new ArrayList<>();
        directory.forEach(
                (id, entry) ->
                        all.add(new NodeStatus(entry, updates.weightOf(id), statistics.of(id))));
        return all;
    }

    /** Returns the totals of all reports since the last call, and resets them. */
    LoadReportStatistics.Totals takeReportTotals() {
        return statistics.takeTotals();
    }

    /**
     * Runs rounds. After a policy throws, its state can't be trusted: a new policy starts, as after
     * a crash of the process.
     */
    private final class PolicyRounds implements RoundScheduler.RoundHandler {
        @Override
        public void runRound(EventSource events) {
            policy.round(now, events, updates);
            updates.finishRound(sender.startRound(now));
        }

        @Override
        public void roundFailed(Throwable cause) {
            LOG.error("routing policy failed; restarting it", cause);
            startPolicy();
        }
    }

    /** Carries out the policy's requests other than updates. */
    private final class Requests implements PlatformUpdateWriter.PolicyRequests {
        @Override
        public void checkHealth(NodeId node) {
            NodeEntry entry = directory.find(node);
            if (entry != null) {
                healthChecks.checkHealth(node, entry);
            }
        }

        /** Does nothing, as discovery is watched from startup on. */
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
