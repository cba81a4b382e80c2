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
 * A seeded, simulated fleet that drives a routing policy in ticks of 0.1 s: nodes report according
 * to their load; proxies route by the tables sent to them and acknowledge the tables as a slow
 * channel delivers them. The model is approximate: it leads the policy through its branches and
 * does not measure the policy's quality.
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
    private SimulatedTable tableBeforeSubscription;
    private PolicyDriver driver;
    private long now = 100 * SECOND;
    private long tick;
    private long timerFiresAt = Long.MAX_VALUE;
    private boolean listRequested;
    private double demand = 0.5;

    /**
     * @param clock measures the duration of each round
     */
    public FleetSimulator(Deployment deployment, long seed, LongSupplier clock) {
        this.deployment = deployment;
        this.settings = deployment.settings();
        this.random = new SplittableRandom(seed);
        this.clock = clock;
        this.channel = new SimulatedChannel(settings, random);
        actions.forwardTo(this);
        for (int n = 0; n < deployment.nodes(); n++) {
            addNode();
        }
        for (int p = 0; p < deployment.proxies(); p++) {
            double rate = 5 + 20 * random.nextDouble();
            proxies.add(
                    new SimulatedProxy(p, p % settings.zones(), rate, settings.methods().size()));
        }
        tableBeforeSubscription = uniformTable();
        startPolicy(seed + 1);
    }

    RecordingActions actions() {
        return actions;
    }

    /** Returns the duration of each round, measured by the given clock. */
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
        int machineType = n % 2;
        double capacityFactor = n % 12 == 5 ? 0.1 : n % 12 == 8 ? 5 : 1;
        double capacity =
                (20 + 20 * machineType) * (0.6 + 0.8 * random.nextDouble()) * capacityFactor;
        long id = (n + 1) * 7919L % 100_003;
        SimulatedNode node =
                new SimulatedNode(
                        id,
                        machineType,
                        n / 2 % settings.zones(),
                        1 + 0.5 * machineType,
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

    /**
     * Starts a new policy instance; it is given the cached node list, and all streams have ended.
     */
    public void startPolicy(long seed) {
        driver = new PolicyDriver(settings, seed, actions, clock);
        tables.clear();
        channel.clear();
        healthChecks.clear();
        timerFiresAt = Long.MAX_VALUE;
        proxies.forEach(
                proxy -> {
                    proxy.joined = false;
                    Arrays.fill(proxy.tables, null);
                });
        list(NodeListKind.CACHED, 0, nodes.size());
    }

    /** Joins the proxies of this index range in the next round. */
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

    void setAcknowledgement(SimulatedProxy.Acknowledgement acknowledgement, int from, int to) {
        proxies.subList(from, to).forEach(proxy -> proxy.acknowledgement = acknowledgement);
    }

    /**
     * Sets the rate offered by all proxies together, as a fraction of the capacity of all nodes.
     */
    void setDemand(double ratio) {
        demand = ratio;
    }

    /** Puts these nodes into a state and sends the change as an incremental node list. */
    void changeState(NodeState state, int from, int to) {
        nodes.subList(from, to).forEach(node -> node.state = state);
        list(NodeListKind.INCREMENTAL, from, to);
    }

    /** Restarts these nodes now and sends an incremental node list. */
    public void restart(int from, int to) {
        nodes.subList(from, to).forEach(node -> node.startedAt = now);
        changeState(NodeState.READY, from, to);
    }

    /** Adds nodes that start now and sends an incremental node list. */
    void addNodes(int count) {
        int from = nodes.size();
        for (int i = 0; i < count; i++) {
            addNode();
        }
        restart(from, nodes.size());
    }

    void list(NodeListKind kind, int from, int to) {
        driver.nodeList(kind, nodes.subList(from, to).stream().map(SimulatedNode::entry).toList());
    }

    SimulatedNode node(int index) {
        return nodes.get(index);
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
        if (now >= timerFiresAt) {
            timerFiresAt = Long.MAX_VALUE;
            driver.fireTimer();
        }
        tables.values().forEach(table -> table.changes = 0);
        proxies.forEach(proxy -> proxy.writtenEntries = 0);
        roundTimes.add(driver.round(now));
    }

    private void answerHealthChecks() {
        while (!healthChecks.isEmpty() && healthChecks.peekFirst().at() <= now) {
            SimulatedNode node = healthChecks.removeFirst().node();
            HealthCheckResult result = node.healthCheck(now, settings, random);
            driver.healthCheckResult(node.id, result);
        }
    }

    private double offeredRate(SimulatedProxy proxy, int method) {
        double total = nodes.size() * 30 * demand / (proxies.size() * 15.0);
        return proxy.rate * total / (settings.methods().size() * (1 + method)) * 1.4;
    }

    private double admittedRate(SimulatedProxy proxy, int method) {
        double limit =
                proxy.tables[method] == null
                        ? Double.POSITIVE_INFINITY
                        : proxy.tables[method].limits[method];
        double rate = offeredRate(proxy, method);
        return settings.throttle() == PolicySettings.Throttle.SHARE
                ? rate * Math.min(1, limit)
                : Math.min(rate, limit);
    }

    private void route() {
        nodes.forEach(node -> Arrays.fill(node.load, 0));
        tables.values().forEach(table -> Arrays.fill(table.sentRates, 0));
        Arrays.fill(tableBeforeSubscription.sentRates, 0);
        for (SimulatedProxy proxy : proxies) {
            for (int m = 0; m < proxy.tables.length; m++) {
                SimulatedTable table =
                        proxy.tables[m] == null ? tableBeforeSubscription : proxy.tables[m];
                table.sentRates[proxy.zone] += proxy.joined ? admittedRate(proxy, m) : 0;
            }
        }
        tables.values().forEach(this::distribute);
        distribute(tableBeforeSubscription);
    }

    private void distribute(SimulatedTable table) {
        double totalWeight = table.totalWeight();
        table.weights.forEach(
                (id, weight) -> {
                    double[] load = nodeById.get(id).load;
                    for (int z = 0; z < load.length; z++) {
                        load[z] += table.sentRates[z] * weight / totalWeight;
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
                            offeredRate(proxy, m)
                                    * (admittedRate(proxy, m) < offeredRate(proxy, m) ? 1.1 : 1);
                    driver.demandReport(
                            proxy.id,
                            m,
                            randomCount(rate * settings.reportPeriodNanos() / SECOND),
                            settings.reportPeriodNanos());
                }
            }
        }
    }

    private int randomCount(double mean) {
        return (int) (mean * (0.9 + 0.2 * random.nextDouble()) + random.nextDouble());
    }

    private void report(SimulatedNode node) {
        long coveredNanos = Math.min(now - node.reportedAt, 8 * SECOND);
        node.reportedAt = node.reportsHeld ? node.reportedAt : now;
        double ratio = node.loadRatio(now, settings);
        boolean present = node.reachable && node.state != NodeState.GONE;
        double failureRatio =
                present ? Math.max(node.failureRatio, 0.4 * Math.min(1, ratio - 1)) : 1;
        double latency =
                0.05
                        * (2 - node.machineType)
                        / (1 - Math.min(0.9, ratio))
                        * (0.9 + 0.2 * random.nextDouble());
        double utilization = Math.min(1, ratio * (0.95 + 0.1 * random.nextDouble()));
        for (int z = 0; z < node.load.length; z++) {
            int attempts = randomCount(node.load[z] * coveredNanos / SECOND);
            int failures =
                    Math.min(
                            attempts,
                            Math.max(0, (int) (attempts * failureRatio + random.nextDouble())));
            boolean omitted = node.reportsLost || node.reportsHeld || attempts == 0 && !present;
            if (!omitted) {
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
    public void applyWeight(int table, long node, double weight) {
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
    public void sendFullTable(int proxy, int[] methods, int table) {
        SimulatedProxy receiver = proxies.get(proxy);
        for (int method : methods) {
            receiver.tables[method] = table(table);
        }
        receiver.writtenEntries += 1 + table(table).weights.size();
    }

    @Override
    public void applyExclusion(long node, boolean excluded) {
        proxies.stream()
                .filter(proxy -> proxy.joined && !proxy.hasTables())
                .forEach(proxy -> proxy.writtenEntries++);
        if (excluded) {
            tableBeforeSubscription.weights.remove(node);
        } else {
            tableBeforeSubscription.weights.put(node, 1.0);
        }
    }

    @Override
    public void applyAdmissionLimit(int table, int method, double limit) {
        table(table).limits[method] = limit;
        table(table).changes++;
    }

    @Override
    public void requestAcknowledgement(int token) {
        for (SimulatedProxy proxy : proxies) {
            int entries =
                    proxy.writtenEntries
                            + tables.values().stream()
                                    .filter(table -> table.changes > 0 && proxy.uses(table))
                                    .mapToInt(t -> t.changes)
                                    .sum();
            if (proxy.joined && entries > 0) {
                channel.send(proxy, token, entries, now);
            }
        }
    }

    @Override
    public void startHealthCheck(long node) {
        healthChecks.add(new PendingHealthCheck(now + 2 * TICK, nodeById.get(node)));
    }

    @Override
    public void watchNodes() {
        listRequested = true;
    }

    @Override
    public void startTimer(long nanos) {
        timerFiresAt = now + nanos;
    }
}
