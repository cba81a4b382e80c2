package rosespread.platform;

import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import rosespread.api.EventHandler;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.PolicyActions;
import rosespread.api.PolicySettings;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.policy.RoutingPolicy;

/**
 * A conductor's decisions against modelled proxies, nodes and a paced channel, on a clock of its
 * own. The messages are those that the platform's proxies would get, and the rules are judged from
 * what the proxies hold. Nothing here takes real time, so a day of hundreds of proxies is a unit
 * test.
 */
final class FleetModel {
    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    private static final long STEP = 10 * MILLI;
    private static final long JUDGE_EVERY = 100 * MILLI;

    /**
     * What a cold node bears: so many times what it can do by then, for so long; it falls beyond
     * that.
     */
    private static final double FALL_MULTIPLE = 3;

    private static final long WEIGH_EVERY = 300 * MILLI;
    private static final int FALL_SAMPLES = 5;

    /** The part of what the warm nodes of the start can do that all proxies together offer. */
    private static final double UTILIZATION = 0.65;

    /** What became of the rules so far. */
    static final class Findings {
        int lateHolders;
        long worstLateNanos;
        double mostWaiting;
        int mostMessages;
        long ordersDigest;
        int rounds;
        long roundNanos;
        long worstRoundNanos;
        String firstLate = "";

        /**
         * WarmUp nodes that were pushed over, and the most that one bore, in times of what it could
         * do.
         */
        final Set<NodeId> fallen = new TreeSet<>();

        double mostColdLoad;
        String firstFall = "";

        @Override
        public String toString() {
            return "late "
                    + lateHolders
                    + " worst "
                    + worstLateNanos / MILLI
                    + " ms, waiting "
                    + mostWaiting
                    + ", messages "
                    + mostMessages
                    + ", rounds "
                    + rounds
                    + " of "
                    + roundNanos / Math.max(1, rounds) / 1000
                    + " us, worst "
                    + worstRoundNanos / 1000
                    + " us, digest "
                    + Long.toHexString(ordersDigest)
                    + " "
                    + firstLate
                    + ", fallen "
                    + fallen.size()
                    + " most "
                    + mostColdLoad
                    + " "
                    + firstFall;
        }
    }

    /** A proxy's end of its stream; what it holds outlives the stream. */
    private static final class FarProxy {
        final int number;
        double rate;
        final Map<MethodId, Map<NodeId, Double>> tables = new TreeMap<>();
        final Set<NodeId> shutOut = new HashSet<>();
        final ArrayDeque<Long> written = new ArrayDeque<>();
        long joinedAt = Long.MIN_VALUE;
        boolean answers = true;

        FarProxy(int number) {
            this.number = number;
        }

        boolean joined() {
            return joinedAt != Long.MIN_VALUE;
        }

        void apply(Part part, int methods) {
            for (int m = 0; m < methods; m++) {
                MethodId method = new MethodId(m);
                if (part.methods().isEmpty() || part.methods().contains(method)) {
                    Map<NodeId, Double> table =
                            tables.computeIfAbsent(method, any -> new HashMap<>());
                    if (part.whole()) {
                        table.clear();
                    }
                    part.lines()
                            .forEach(
                                    (node, weight) ->
                                            table.compute(
                                                    node,
                                                    (same, old) -> weight > 0 ? weight : null));
                }
            }
            shutOut.addAll(part.out());
            shutOut.removeAll(part.back());
        }

        /**
         * Adds what it sends to each node, a method's part of its rate by the weights of its table.
         */
        void addLoads(Map<NodeId, Double> loads) {
            for (Map<NodeId, Double> table : tables.values()) {
                double sum =
                        table.entrySet().stream()
                                .filter(e -> !shutOut.contains(e.getKey()))
                                .mapToDouble(Map.Entry::getValue)
                                .sum();
                table.forEach(
                        (node, weight) -> {
                            if (!shutOut.contains(node)) {
                                loads.merge(node, rate / tables.size() * weight / sum, Double::sum);
                            }
                        });
            }
        }

        boolean sendsTo(NodeId node) {
            for (Map<NodeId, Double> table : tables.values()) {
                if (table.containsKey(node)) {
                    return !shutOut.contains(node);
                }
            }
            return false;
        }
    }

    private record InChannel(
            FarProxy proxy, long joinedAt, List<Part> parts, int mark, double lines, long at) {}

    private record Answer(
            FarProxy proxy, long joinedAt, List<Part> parts, int mark, long at, long took) {}

    final Findings findings = new Findings();
    private final PolicySettings settings;
    private final RoutingPolicy brain;
    private final PlatformUpdateWriter orders;
    private final PolicyActions counting;
    private final Set<TableId> tablesLaid = new TreeSet<>();
    private final SplittableRandom random;
    private final Set<NodeId> restless = new HashSet<>();
    private final List<Consumer<EventHandler>> events = new ArrayList<>();
    private final Map<Integer, FarProxy> proxies = new TreeMap<>();
    private final TreeMap<NodeId, EventHandler.NodeState> nodes = new TreeMap<>();
    private final Map<NodeId, Long> toldAt = new TreeMap<>();
    private final Set<String> late = new HashSet<>();
    private final Map<NodeId, Long> startedAt = new TreeMap<>();
    private final Map<NodeId, ArrayDeque<Double>> coldLoads = new TreeMap<>();
    private int warmAtStart;
    private final ArrayDeque<InChannel> channel = new ArrayDeque<>();
    private final ArrayDeque<Answer> onTheWay = new ArrayDeque<>();
    private double waiting;
    private double credit;
    private long now = 100 * SECOND;
    private long wakeAt = Long.MAX_VALUE;
    private long reportedAt;
    private double loadPerProxy = 1.4;

    FleetModel(PolicySettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.brain = new RoutingPolicy(settings, new SplittableRandom(seed + 1));
        this.orders =
                new PlatformUpdateWriter(
                        settings.methods().size(), restless::contains, new Besides());
        this.counting =
                (PolicyActions)
                        Proxy.newProxyInstance(
                                PolicyActions.class.getClassLoader(),
                                new Class<?>[] {PolicyActions.class},
                                (self, method, arguments) -> {
                                    if (method.getName().equals("line")) {
                                        tablesLaid.add((TableId) arguments[0]);
                                    }
                                    return method.invoke(orders, arguments);
                                });
    }

    /** A deployment with one class for all nodes of some zones and two kinds. */
    static PolicySettings settings(
            int methods,
            int zones,
            double linesPerSecond,
            double head,
            double queue,
            int messages,
            long graceNanos) {
        List<PolicySettings.Method> all = new ArrayList<>();
        for (int m = 0; m < methods; m++) {
            all.add(new PolicySettings.Method(1 + m, Set.of(), Set.of(), false));
        }
        return new PolicySettings(
                List.copyOf(all),
                zones,
                false,
                false,
                false,
                PolicySettings.Throttle.SHARE,
                linesPerSecond,
                head,
                queue,
                0.04,
                messages,
                10 * SECOND,
                442 * MILLI,
                SECOND / 2,
                graceNanos,
                18 * SECOND,
                0.17,
                1500 * MILLI);
    }

    long now() {
        return now;
    }

    /** How many tables were ever laid. */
    int tables() {
        return tablesLaid.size();
    }

    double waitingLines() {
        return waiting;
    }

    NodeId node(int number) {
        return new NodeId(number);
    }

    void list(EventHandler.NodeListKind kind, EventHandler.NodeState state, int from, int to) {
        events.add(o -> o.listStarted(kind));
        for (int n = from; n < to; n++) {
            NodeId id = node(n);
            boolean fresh = !nodes.containsKey(id);
            long started = kind == EventHandler.NodeListKind.CACHED ? Long.MIN_VALUE : now - SECOND;
            int number = n;
            if (kind == EventHandler.NodeListKind.CACHED) {
                warmAtStart++;
            } else if (fresh) {
                startedAt.put(id, started);
            }
            if (state == EventHandler.NodeState.READY) {
                toldAt.remove(id);
            } else {
                toldAt.putIfAbsent(id, now);
                restless.add(id);
            }
            nodes.put(id, state);
            ZoneId zone = new ZoneId(number % settings.zones());
            events.add(
                    o ->
                            o.nodeListed(
                                    id,
                                    new MachineTypeId(number % 2),
                                    zone,
                                    1,
                                    state,
                                    fresh || state == EventHandler.NodeState.READY
                                            ? started
                                            : Long.MIN_VALUE));
        }
        events.add(EventHandler::listCompleted);
    }

    /** A proxy's stream begins; it brings the lines of these nodes if it holds nothing yet. */
    void join(int number, int from, int to) {
        FarProxy proxy = proxies.computeIfAbsent(number, FarProxy::new);
        if (proxy.tables.isEmpty()) {
            Map<NodeId, Double> brought = new HashMap<>();
            for (int n = from; n < to; n++) {
                brought.put(node(n), 1.0);
            }
            for (int m = 0; m < settings.methods().size(); m++) {
                proxy.tables.put(new MethodId(m), new HashMap<>(brought));
            }
        }
        proxy.joinedAt = now;
        proxy.written.clear();
        orders.joined(new ProxyId(number));
        double rate = loadPerProxy * (0.5 + random.nextDouble());
        proxy.rate = rate;
        events.add(
                o ->
                        o.proxyJoined(
                                new ProxyId(number), new ZoneId(number % settings.zones()), rate));
    }

    /** Its stream breaks; what waited for it in the channel goes with it. */
    void leave(int number) {
        FarProxy proxy = proxies.get(number);
        if (proxy != null && proxy.joined()) {
            proxy.joinedAt = Long.MIN_VALUE;
            channel.removeIf(message -> message.proxy() == proxy);
            waiting = channel.stream().mapToDouble(InChannel::lines).sum();
            orders.left(new ProxyId(number));
            events.add(o -> o.proxyLeft(new ProxyId(number)));
        }
    }

    /** This proxy applies what it gets, but its answers never come. */
    void silence(int number) {
        proxies.get(number).answers = false;
    }

    long joined() {
        return proxies.values().stream().filter(FarProxy::joined).count();
    }

    /** How many ready nodes the proxies from this one on send to, each of them at least two. */
    long nodesUsed(int fromProxy) {
        Map<NodeId, Integer> holders = new HashMap<>();
        proxies.values().stream()
                .filter(proxy -> proxy.number >= fromProxy)
                .flatMap(proxy -> proxy.tables.get(new MethodId(0)).keySet().stream())
                .forEach(node -> holders.merge(node, 1, Integer::sum));
        return nodes.entrySet().stream()
                .filter(e -> e.getValue() == EventHandler.NodeState.READY)
                .filter(e -> holders.getOrDefault(e.getKey(), 0) >= 2)
                .count();
    }

    int bound() {
        return orders.bound();
    }

    void run(double seconds) {
        long until = now + Math.round(seconds * SECOND);
        while (now < until) {
            now += STEP;
            deliver();
            report();
            if (now >= wakeAt) {
                wakeAt = Long.MAX_VALUE;
                events.add(EventHandler::timerFired);
            }
            if (!events.isEmpty()) {
                round();
            }
            if (now % JUDGE_EVERY < STEP) {
                judgeDrains();
            }
            if (now % WEIGH_EVERY < STEP) {
                judgeColdNodes();
            }
        }
    }

    private void round() {
        List<Consumer<EventHandler>> told = List.copyOf(events);
        events.clear();
        long began = System.nanoTime();
        brain.round(now, observer -> told.forEach(event -> event.accept(observer)), counting);
        orders.close(this::send);
        long took = System.nanoTime() - began;
        findings.rounds++;
        findings.roundNanos += took;
        findings.worstRoundNanos = Math.max(findings.worstRoundNanos, took);
        findings.mostWaiting = Math.max(findings.mostWaiting, waiting);
    }

    private void send(ProxyId id, List<Part> parts, int mark) {
        FarProxy proxy = proxies.get(id.value());
        double lines = settings.messageOverheadEntries() + (mark >= 0 ? 1 : 0);
        for (Part part : parts) {
            lines +=
                    (part.whole() ? 1 : 0)
                            + part.lines().size()
                            + part.out().size()
                            + part.back().size()
                            + (Double.isNaN(part.level()) ? 0 : 1);
        }
        waiting += lines;
        channel.addLast(new InChannel(proxy, proxy.joinedAt, parts, mark, lines, now));
        proxy.written.addLast(now);
        proxy.written.removeIf(at -> now - at > settings.messageWindowNanos());
        findings.mostMessages = Math.max(findings.mostMessages, proxy.written.size());
        findings.ordersDigest = findings.ordersDigest * 31 + id.value() * 7 + mark;
        findings.ordersDigest = findings.ordersDigest * 31 + parts.toString().hashCode();
    }

    private void deliver() {
        credit = channel.isEmpty() ? 0 : credit + settings.entriesPerSecond() * STEP / SECOND;
        while (!channel.isEmpty() && channel.peekFirst().lines() <= credit) {
            InChannel left = channel.removeFirst();
            credit -= left.lines();
            waiting -= left.lines();
            onTheWay.addLast(
                    new Answer(
                            left.proxy(),
                            left.joinedAt(),
                            left.parts(),
                            left.mark(),
                            now + settings.maxPropagationDelayNanos() / 2,
                            now - left.at()));
        }
        while (!onTheWay.isEmpty() && onTheWay.peekFirst().at() <= now) {
            Answer answer = onTheWay.removeFirst();
            FarProxy proxy = answer.proxy();
            if (proxy.joinedAt == answer.joinedAt()) {
                answer.parts().forEach(part -> proxy.apply(part, settings.methods().size()));
                if (proxy.answers && answer.mark() >= 0) {
                    events.add(
                            o ->
                                    o.acknowledged(
                                            new ProxyId(proxy.number),
                                            answer.mark(),
                                            answer.took()));
                }
            }
        }
    }

    /** Each half second what joined proxies met at nodes, as evenly as a wheel would deal it. */
    private void report() {
        if (now - reportedAt < SECOND / 2) {
            return;
        }
        reportedAt = now;
        List<NodeId> ready =
                nodes.entrySet().stream()
                        .filter(e -> e.getValue() == EventHandler.NodeState.READY)
                        .map(Map.Entry::getKey)
                        .toList();
        double tries = loadPerProxy * joined() / 2 / Math.max(1, ready.size() * settings.zones());
        for (NodeId node : ready) {
            for (int z = 0; z < settings.zones(); z++) {
                int count = (int) (tries + random.nextDouble());
                ZoneId zone = new ZoneId(z);
                double latency = 0.2 + 0.1 * random.nextDouble();
                events.add(
                        o ->
                                o.loadReported(
                                        node,
                                        zone,
                                        count,
                                        0,
                                        count > 0 ? latency : Double.NaN,
                                        SECOND / 2,
                                        Double.NaN));
            }
        }
        for (FarProxy proxy : proxies.values()) {
            if (proxy.joined()) {
                int count = random.nextInt(3);
                MethodId method = new MethodId(random.nextInt(settings.methods().size()));
                events.add(
                        o ->
                                o.demandReported(
                                        new ProxyId(proxy.number), method, count, SECOND / 2));
            }
        }
    }

    /**
     * The load of joined proxies on each cold node, over a window, against what it could do
     * meanwhile.
     */
    private void judgeColdNodes() {
        if (startedAt.isEmpty()) {
            return;
        }
        double all = proxies.values().stream().mapToDouble(proxy -> proxy.rate).sum();
        double capacity = all / (UTILIZATION * warmAtStart);
        Map<NodeId, Double> loads = new HashMap<>();
        proxies.values().stream().filter(FarProxy::joined).forEach(proxy -> proxy.addLoads(loads));
        startedAt.forEach(
                (node, started) -> {
                    double warmth =
                            settings.coldCapacityRatio()
                                    + (1 - settings.coldCapacityRatio())
                                            * (now - started)
                                            / settings.warmUpNanos();
                    ArrayDeque<Double> window =
                            coldLoads.computeIfAbsent(node, any -> new ArrayDeque<>());
                    window.addLast(loads.getOrDefault(node, 0.0) / (capacity * warmth));
                    if (window.size() > FALL_SAMPLES) {
                        window.removeFirst();
                    }
                    double mean = window.stream().mapToDouble(load -> load).sum() / FALL_SAMPLES;
                    if (warmth < 1) {
                        findings.mostColdLoad = Math.max(findings.mostColdLoad, mean);
                    }
                    if (warmth < 1 && mean > FALL_MULTIPLE && findings.fallen.add(node)) {
                        String which =
                                node + " at " + now / MILLI + " ms, started " + started / MILLI;
                        findings.firstFall =
                                findings.firstFall.isEmpty() ? which : findings.firstFall;
                    }
                });
    }

    /** PinChanged a line is held to be sending: a proxy sends often enough for it to come true. */
    private void judgeDrains() {
        toldAt.forEach(
                (node, told) -> {
                    if (now - told > settings.drainTimeoutNanos()) {
                        proxies.values().stream()
                                .filter(FarProxy::joined)
                                .forEach(proxy -> judgeDrain(proxy, node, told));
                    }
                });
    }

    private void judgeDrain(FarProxy proxy, NodeId node, long told) {
        long over = now - Math.max(told, proxy.joinedAt) - settings.drainTimeoutNanos();
        if (over <= 0 || !proxy.sendsTo(node)) {
            return;
        }
        if (late.add(proxy.number + "/" + proxy.joinedAt + "/" + node.value())) {
            findings.lateHolders++;
            String which =
                    "proxy "
                            + proxy.number
                            + " holds "
                            + node
                            + " at "
                            + now / MILLI
                            + " ms, joined "
                            + proxy.joinedAt / MILLI
                            + ", told "
                            + told / MILLI;
            findings.firstLate = findings.firstLate.isEmpty() ? which : findings.firstLate;
        }
        findings.worstLateNanos = Math.max(findings.worstLateNanos, over);
    }

    private final class Besides implements PlatformUpdateWriter.Besides {
        @Override
        public void probe(NodeId node) {}

        @Override
        public void followList() {}

        @Override
        public void wakeAfter(long nanos) {
            wakeAt = Math.min(wakeAt, now + nanos);
        }

        @Override
        public void log(String line) {
            findings.ordersDigest = findings.ordersDigest * 31 + line.hashCode();
        }
    }
}
