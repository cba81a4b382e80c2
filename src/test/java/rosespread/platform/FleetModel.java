package rosespread.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import rosespread.api.EventHandler;
import rosespread.api.EventHandler.NodeListKind;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.MachineTypeId;
import rosespread.api.NodeId;
import rosespread.api.PolicyEvent;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.policy.RoutingPolicy;

/**
 * Runs the policy and the update writer with simulated proxies, nodes, clock and paced channel. The
 * updates are those that the platform's proxies would receive, and the rules are checked against
 * the entries that the proxies hold. Nothing waits in real time, so a day of hundreds of proxies
 * fits in a unit test.
 */
final class FleetModel {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    private static final long STEP_NANOS = 10 * MILLI;
    private static final long DRAIN_CHECK_NANOS = 100 * MILLI;
    private static final long COLD_CHECK_NANOS = 300 * MILLI;
    private static final double MEAN_REQUESTS_PER_SECOND = 1.4;

    private final FleetFindings findings = new FleetFindings();
    private final PolicySettings settings;
    private final SplittableRandom random;
    private final RoutingPolicy policy;
    private final PlatformUpdateWriter updates;
    private final TableCountingActions actions;
    private final SimulatedChannel channel;
    private final SimulatedReports reports;
    private final DrainChecker drainChecker;
    private final ColdNodeChecker coldNodeChecker;
    private final List<Consumer<EventHandler>> events = new ArrayList<>();
    private final Map<Integer, SimulatedProxy> proxies = new TreeMap<>();
    private final Map<NodeId, NodeState> nodes = new TreeMap<>();
    private final Set<NodeId> possiblyExcluded = new HashSet<>();
    private long now = 100 * SECOND;
    private long timerNanos = Long.MAX_VALUE;
    private long reportedNanos;

    FleetModel(PolicySettings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        policy = new RoutingPolicy(settings, new SplittableRandom(seed + 1));
        updates =
                new PlatformUpdateWriter(
                        settings.methods().size(), possiblyExcluded::contains, new Requests());
        actions = new TableCountingActions(updates);
        channel = new SimulatedChannel(settings);
        reports = new SimulatedReports(settings, random, events::add);
        drainChecker = new DrainChecker(settings, findings);
        coldNodeChecker = new ColdNodeChecker(settings, findings);
    }

    /** Returns settings in which every node may serve every method. */
    static PolicySettings settings(
            int methods,
            int zones,
            double entriesPerSecond,
            double messageOverheadEntries,
            double queueLimitEntries,
            int messageLimit,
            long drainTimeoutNanos) {
        List<PolicySettings.Method> all = new ArrayList<>();
        for (int method = 0; method < methods; method++) {
            all.add(new PolicySettings.Method(1 + method, Set.of(), Set.of(), false));
        }
        return new PolicySettings(
                List.copyOf(all),
                zones,
                false,
                false,
                false,
                PolicySettings.Throttle.SHARE,
                entriesPerSecond,
                messageOverheadEntries,
                queueLimitEntries,
                0.04,
                messageLimit,
                10 * SECOND,
                442 * MILLI,
                SECOND / 2,
                drainTimeoutNanos,
                18 * SECOND,
                0.17,
                1500 * MILLI);
    }

    FleetFindings findings() {
        return findings;
    }

    /** The number of tables that ever had an entry. */
    int tables() {
        return actions.tables();
    }

    int subscribedProxies() {
        return updates.subscribedProxies();
    }

    /** The number of ready nodes that at least two of the proxies from this number on send to. */
    long nodesUsedByProxiesFrom(int firstProxy) {
        Map<NodeId, Integer> holders = new HashMap<>();
        proxies.values().stream()
                .filter(proxy -> proxy.id().value() >= firstProxy)
                .flatMap(proxy -> proxy.nodesOfFirstMethod().stream())
                .forEach(node -> holders.merge(node, 1, Integer::sum));
        return readyNodes().stream().filter(node -> holders.getOrDefault(node, 0) >= 2).count();
    }

    private List<NodeId> readyNodes() {
        return nodes.entrySet().stream()
                .filter(entry -> entry.getValue() == NodeState.READY)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Sends a list of the nodes from one number to another (exclusive), all in one state. */
    void listNodes(NodeListKind kind, NodeState state, int from, int to) {
        events.add(handler -> handler.listStarted(kind));
        for (int number = from; number < to; number++) {
            listNode(kind, state, number);
        }
        events.add(EventHandler::listCompleted);
    }

    private void listNode(NodeListKind kind, NodeState state, int number) {
        NodeId id = new NodeId(number);
        boolean isNew = !nodes.containsKey(id);
        long started = kind == NodeListKind.CACHED ? Long.MIN_VALUE : now - SECOND;
        if (kind == NodeListKind.CACHED) {
            coldNodeChecker.addWarmNode();
        } else if (isNew) {
            coldNodeChecker.addColdNode(id, started);
        }
        if (state == NodeState.READY) {
            drainChecker.nodeReady(id);
        } else {
            drainChecker.nodeDraining(id, now);
            possiblyExcluded.add(id);
        }
        nodes.put(id, state);
        MachineTypeId machineType = new MachineTypeId(number % 2);
        ZoneId zone = new ZoneId(number % settings.zones());
        long listed = isNew || state == NodeState.READY ? started : Long.MIN_VALUE;
        events.add(handler -> handler.nodeListed(id, machineType, zone, 1, state, listed));
    }

    /** Starts a proxy's stream; a proxy without tables starts with entries of these nodes. */
    void join(int number, int fromNode, int toNode) {
        SimulatedProxy proxy =
                proxies.computeIfAbsent(
                        number, absent -> new SimulatedProxy(number, settings.methods().size()));
        updates.proxyJoined(proxy.id());
        double rate = MEAN_REQUESTS_PER_SECOND * (0.5 + random.nextDouble());
        proxy.join(now, rate, IntStream.range(fromNode, toNode).mapToObj(NodeId::new).toList());
        ZoneId zone = new ZoneId(number % settings.zones());
        events.add(handler -> handler.proxyJoined(proxy.id(), zone, rate));
    }

    /** Joins the proxies from one number to another (exclusive), each with these nodes. */
    void joinAll(int from, int to, int fromNode, int toNode) {
        for (int number = from; number < to; number++) {
            join(number, fromNode, toNode);
        }
    }

    /** Breaks a proxy's stream, if it has one; messages in the channel's queue are dropped. */
    void leave(int number) {
        SimulatedProxy proxy = proxies.get(number);
        if (proxy != null && proxy.isJoined()) {
            proxy.leave();
            channel.drop(proxy);
            updates.proxyLeft(proxy.id());
            events.add(handler -> handler.proxyLeft(proxy.id()));
        }
    }

    /** Breaks the streams of this many proxies, from proxy 0 on. */
    void leaveFirst(int count) {
        for (int number = 0; number < count; number++) {
            leave(number);
        }
    }

    /** Makes this proxy apply updates without acknowledging them. */
    void stopAcknowledging(int number) {
        proxies.get(number).stopAcknowledging();
    }

    void run(double seconds) {
        long until = now + Math.round(seconds * SECOND);
        while (now < until) {
            now += STEP_NANOS;
            channel.advance(now, STEP_NANOS, this::receive);
            sendReports();
            fireTimer();
            if (!events.isEmpty()) {
                runRound();
            }
            check();
        }
    }

    private void receive(SimulatedChannel.Delivery delivery) {
        SimulatedProxy proxy = delivery.proxy();
        if (proxy.joinedNanos() != delivery.joinedNanos()) {
            return;
        }
        delivery.parts().forEach(proxy::apply);
        if (proxy.acknowledges() && delivery.policyToken() >= 0) {
            events.add(
                    handler ->
                            handler.acknowledged(
                                    proxy.id(), delivery.policyToken(), delivery.latencyNanos()));
        }
    }

    private void sendReports() {
        if (now - reportedNanos < SimulatedReports.PERIOD_NANOS) {
            return;
        }
        reportedNanos = now;
        List<NodeId> ready = readyNodes();
        long joined = proxies.values().stream().filter(SimulatedProxy::isJoined).count();
        int nodesAndZones = Math.max(1, ready.size() * settings.zones());
        reports.reportLoad(ready, MEAN_REQUESTS_PER_SECOND * joined / 2 / nodesAndZones);
        reports.reportDemand(proxies.values());
    }

    private void fireTimer() {
        if (now >= timerNanos) {
            timerNanos = Long.MAX_VALUE;
            events.add(EventHandler::timerFired);
        }
    }

    private void runRound() {
        List<Consumer<EventHandler>> delivered = List.copyOf(events);
        events.clear();
        long startNanos = System.nanoTime();
        policy.round(now, handler -> delivered.forEach(event -> event.accept(handler)), actions);
        updates.finishRound(this::send);
        findings.recordRound(System.nanoTime() - startNanos);
        findings.recordQueuedEntries(channel.queuedEntries());
    }

    private void send(ProxyId id, List<UpdatePart> parts, int policyToken) {
        SimulatedProxy proxy = proxies.get(id.value());
        channel.write(proxy, parts, policyToken, now);
        findings.recordMessagesInWindow(proxy.countMessage(now, settings.messageWindowNanos()));
        findings.addToDigest(id.value() * 7 + policyToken);
        findings.addToDigest(parts.toString().hashCode());
    }

    private void check() {
        if (now % DRAIN_CHECK_NANOS < STEP_NANOS) {
            drainChecker.check(proxies.values(), now);
        }
        if (now % COLD_CHECK_NANOS < STEP_NANOS) {
            coldNodeChecker.check(proxies.values(), now);
        }
    }

    private final class Requests implements PlatformUpdateWriter.PolicyRequests {
        @Override
        public void checkHealth(NodeId node) {}

        @Override
        public void watchNodes() {}

        @Override
        public void startTimer(long nanos) {
            timerNanos = Math.min(timerNanos, now + nanos);
        }

        @Override
        public void report(PolicyEvent event) {
            findings.addToDigest(event.text().hashCode());
        }
    }
}
