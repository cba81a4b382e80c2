package rosespread.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.stream.LongStream;
import rosespread.api.EventHandler.HealthCheckResult;
import rosespread.api.EventHandler.NodeListKind;
import rosespread.api.EventHandler.NodeState;
import rosespread.api.PolicySettings;

/**
 * A seeded fleet that drives a routing policy in ticks of a tenth of a second: nodes answer for
 * their load, proxies route by the tables they were sent and acknowledge them as a slow channel
 * delivers. The model is loose: it is meant to lead the policy through its branches, not to measure
 * it.
 */
public final class FleetSimulator implements ActionEffects {
    static final long SECOND = 1_000_000_000L;
    private static final long TICK = SECOND / 10;

    private record PendingHealthCheck(long at, SimulatedNode node) {}

    private final Deployment deployment;
    private final PolicySettings settings;
    private final SplittableRandom random;
    private final LongSupplier clock;
    private final RecordingActions actions = new RecordingActions();
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<SimulatedProxy> proxies = new ArrayList<>();
    private final TreeMap<Long, SimulatedNode> nodeById = new TreeMap<>();
    private final TreeMap<Integer, SimulatedTable> tables = new TreeMap<>();
    private final SimulatedChannel channel;
    private final ArrayDeque<PendingHealthCheck> healthChecks = new ArrayDeque<>();
    private final List<Long> roundTimes = new ArrayList<>();
    private SimulatedTable earlierTable;
    private PolicyDriver driver;
    private long now = 100 * SECOND;
    private long tick;
    private long wakeAt = Long.MAX_VALUE;
    private boolean listRequested;
    private double demand = 0.5;

    /**
     * @param clock times each round
     */
    public FleetSimulator(Deployment deployment, long seed, LongSupplier clock) {
        this.deployment = deployment;
        this.settings = deployment.settings();
        this.random = new SplittableRandom(seed);
        this.clock = clock;
        this.channel = new SimulatedChannel(settings, random);
        actions.passTo(this);
        for (int n = 0; n < deployment.nodes(); n++) {
            addNode();
        }
        for (int p = 0; p < deployment.proxies(); p++) {
            double rate = 5 + 20 * random.nextDouble();
            proxies.add(
                    new SimulatedProxy(p, p % settings.zones(), rate, settings.methods().size()));
        }
        earlierTable = uniformTable();
        startPolicy(seed + 1);
    }

    RecordingActions actions() {
        return actions;
    }

    /** The time of each round by the given clock. */
    public LongStream roundTimes() {
        return roundTimes.stream().mapToLong(t -> t);
    }

    int nodes() {
        return nodes.size();
    }

    int proxies() {
        return proxies.size();
    }

    private int addNode() {
        int n = nodes.size();
        int kind = n % 2;
        double rarity = n % 12 == 5 ? 0.1 : n % 12 == 8 ? 5 : 1;
        double capacity = (20 + 20 * kind) * (0.6 + 0.8 * random.nextDouble()) * rarity;
        long id = (n + 1) * 7919L % 100_003;
        SimulatedNode node =
                new SimulatedNode(
                        id,
                        kind,
                        n / 2 % settings.zones(),
                        1 + 0.5 * kind,
                        capacity,
                        settings.zones());
        nodes.add(node);
        nodeById.put(id, node);
        return n;
    }

    private SimulatedTable uniformTable() {
        SimulatedTable table = new SimulatedTable(settings.methods().size(), settings.zones());
        nodes.forEach(node -> table.weights.put(node.id, 1.0));
        return table;
    }

    /** A new policy instance begins; it knows the remembered list, and all streams are gone. */
    public void startPolicy(long seed) {
        driver = new PolicyDriver(settings, seed, actions, clock);
        tables.clear();
        channel.clear();
        healthChecks.clear();
        wakeAt = Long.MAX_VALUE;
        proxies.forEach(
                proxy -> {
                    proxy.joined = false;
                    Arrays.fill(proxy.tables, null);
                });
        list(NodeListKind.CACHED, 0, nodes.size());
    }

    /** Joins these proxies in this round. */
    public void join(int from, int to) {
        for (SimulatedProxy proxy : proxies.subList(from, to)) {
            proxy.joined = true;
            proxy.session++;
            Arrays.fill(proxy.tables, null);
            driver.join(proxy.id, proxy.zone, proxy.rate);
        }
    }

    void leave(int from, int to) {
        for (SimulatedProxy proxy : proxies.subList(from, to)) {
            proxy.joined = false;
            driver.leave(proxy.id);
        }
    }

    void acknowledge(SimulatedProxy.Acknowledgement how, int from, int to) {
        proxies.subList(from, to).forEach(proxy -> proxy.acknowledgement = how);
    }

    /** The rate that the whole fleet of proxies offers, as a part of what all nodes can do. */
    void demand(double part) {
        demand = part;
    }

    /** Lists these nodes in a state as a change. */
    void change(NodeState state, int from, int to) {
        nodes.subList(from, to).forEach(node -> node.state = state);
        list(NodeListKind.INCREMENTAL, from, to);
    }

    /** Their processes start anew now; the list tells. */
    public void restart(int from, int to) {
        nodes.subList(from, to).forEach(node -> node.started = now);
        change(NodeState.READY, from, to);
    }

    /** New nodes come. */
    void grow(int count) {
        int from = nodes.size();
        for (int i = 0; i < count; i++) {
            addNode();
        }
        restart(from, nodes.size());
    }

    void list(NodeListKind kind, int from, int to) {
        driver.nodeList(kind, nodes.subList(from, to).stream().map(SimulatedNode::entry).toList());
    }

    SimulatedNode node(int place) {
        return nodes.get(place);
    }

    List<SimulatedNode> nodes(int from, int to) {
        return nodes.subList(from, to);
    }

    public void run(double seconds) {
        for (long ticks = Math.round(seconds * 10); ticks > 0; ticks--) {
            step();
        }
    }

    private void step() {
        now += TICK;
        tick++;
        channel.deliverAcknowledgements(now, driver);
        answerHealthChecks();
        route();
        report();
        if (listRequested) {
            listRequested = false;
            list(NodeListKind.FULL, 0, nodes.size());
        }
        if (now >= wakeAt) {
            wakeAt = Long.MAX_VALUE;
            driver.fireTimer();
        }
        tables.values().forEach(table -> table.changes = 0);
        proxies.forEach(proxy -> proxy.written = 0);
        roundTimes.add(driver.round(now));
    }

    private void answerHealthChecks() {
        while (!healthChecks.isEmpty() && healthChecks.peekFirst().at() <= now) {
            SimulatedNode node = healthChecks.removeFirst().node();
            HealthCheckResult result = node.healthCheck(now, settings, random);
            driver.healthCheckResult(node.id, result);
        }
    }

    private double offered(SimulatedProxy proxy, int method) {
        double total = nodes.size() * 30 * demand / (proxies.size() * 15.0);
        return proxy.rate * total / (settings.methods().size() * (1 + method)) * 1.4;
    }

    private double admitted(SimulatedProxy proxy, int method) {
        double limit =
                proxy.tables[method] == null
                        ? Double.POSITIVE_INFINITY
                        : proxy.tables[method].limits[method];
        double rate = offered(proxy, method);
        return settings.throttle() == PolicySettings.Throttle.SHARE
                ? rate * Math.min(1, limit)
                : Math.min(rate, limit);
    }

    private void route() {
        nodes.forEach(node -> Arrays.fill(node.load, 0));
        tables.values().forEach(table -> Arrays.fill(table.sent, 0));
        Arrays.fill(earlierTable.sent, 0);
        for (SimulatedProxy proxy : proxies) {
            for (int m = 0; m < proxy.tables.length; m++) {
                SimulatedTable table = proxy.tables[m] == null ? earlierTable : proxy.tables[m];
                table.sent[proxy.zone] += proxy.joined ? admitted(proxy, m) : 0;
            }
        }
        tables.values().forEach(this::spread);
        spread(earlierTable);
    }

    private void spread(SimulatedTable table) {
        double sum = table.sum();
        table.weights.forEach(
                (id, weight) -> {
                    double[] load = nodeById.get(id).load;
                    for (int z = 0; z < load.length; z++) {
                        load[z] += table.sent[z] * weight / sum;
                    }
                });
    }

    private void report() {
        long period = Math.max(1, settings.reportPeriodNanos() / TICK);
        for (int n = 0; n < nodes.size(); n++) {
            if ((tick + n) % period == 0) {
                report(nodes.get(n));
            }
        }
        for (SimulatedProxy proxy : proxies) {
            if ((tick + proxy.id) % period == 0 && proxy.joined) {
                for (int m = 0; m < proxy.tables.length; m++) {
                    double rate =
                            offered(proxy, m) * (admitted(proxy, m) < offered(proxy, m) ? 1.1 : 1);
                    driver.demandReport(
                            proxy.id,
                            m,
                            draw(rate * settings.reportPeriodNanos() / SECOND),
                            settings.reportPeriodNanos());
                }
            }
        }
    }

    private int draw(double mean) {
        return (int) (mean * (0.9 + 0.2 * random.nextDouble()) + random.nextDouble());
    }

    private void report(SimulatedNode node) {
        long coveredNanos = Math.min(now - node.reportedAt, 8 * SECOND);
        node.reportedAt = node.reportsHeld ? node.reportedAt : now;
        double ratio = node.loadRatio(now, settings);
        boolean present = node.reachable && node.state != NodeState.GONE;
        double failureRatio = present ? Math.max(node.failures, 0.4 * Math.min(1, ratio - 1)) : 1;
        double latency =
                0.05
                        * (2 - node.kind)
                        / (1 - Math.min(0.9, ratio))
                        * (0.9 + 0.2 * random.nextDouble());
        double utilization = Math.min(1, ratio * (0.95 + 0.1 * random.nextDouble()));
        for (int z = 0; z < node.load.length; z++) {
            int attempts = draw(node.load[z] * coveredNanos / SECOND);
            int failures =
                    Math.min(
                            attempts,
                            Math.max(0, (int) (attempts * failureRatio + random.nextDouble())));
            boolean dropped = node.reportsLost || node.reportsHeld || attempts == 0 && !present;
            if (!dropped) {
                driver.loadReport(
                        node.id,
                        z,
                        attempts,
                        failures,
                        attempts > failures ? latency : Double.NaN,
                        coveredNanos,
                        deployment.utilizationReported() && present ? utilization : Double.NaN);
            }
        }
    }

    @Override
    public void weightEntry(int table, long node, double weight) {
        SimulatedTable changed = table(table);
        changed.changes++;
        if (weight > 0) {
            changed.weights.put(node, weight);
        } else {
            changed.weights.remove(node);
        }
    }

    private SimulatedTable table(int id) {
        return tables.computeIfAbsent(
                id, t -> new SimulatedTable(settings.methods().size(), settings.zones()));
    }

    @Override
    public void fullTable(int proxy, int[] methods, int table) {
        SimulatedProxy receiver = proxies.get(proxy);
        for (int method : methods) {
            receiver.tables[method] = table(table);
        }
        receiver.written += 1 + table(table).weights.size();
    }

    @Override
    public void exclusion(long node, boolean excluded) {
        proxies.stream()
                .filter(proxy -> proxy.joined && !proxy.hasTables())
                .forEach(proxy -> proxy.written++);
        if (excluded) {
            earlierTable.weights.remove(node);
        } else {
            earlierTable.weights.put(node, 1.0);
        }
    }

    @Override
    public void admissionLimit(int table, int method, double limit) {
        table(table).limits[method] = limit;
        table(table).changes++;
    }

    @Override
    public void acknowledgeWith(int token) {
        for (SimulatedProxy proxy : proxies) {
            int entries =
                    proxy.written
                            + tables.values().stream()
                                    .filter(table -> table.changes > 0 && proxy.follows(table))
                                    .mapToInt(t -> t.changes)
                                    .sum();
            if (proxy.joined && entries > 0) {
                channel.send(proxy, token, entries, now);
            }
        }
    }

    @Override
    public void healthCheck(long node) {
        healthChecks.add(new PendingHealthCheck(now + 2 * TICK, nodeById.get(node)));
    }

    @Override
    public void watchNodes() {
        listRequested = true;
    }

    @Override
    public void startTimer(long nanos) {
        wakeAt = now + nanos;
    }
}
