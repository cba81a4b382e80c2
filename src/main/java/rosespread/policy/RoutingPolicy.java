package rosespread.policy;

import java.util.*;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import rosespread.api.*;
import rosespread.api.EventHandler;
import rosespread.policy.state.*;
import rosespread.stats.*;

/**
 * All decisions of one conductor. The caller makes one RoutingPolicy a conductor and calls {@link
 * #round} once for each round with all that came in; the orders go straight into the writer. Its
 * interface is rosespread.policy.api. The order below: observe, estimate, judge health, commit,
 * deliver, levels. The mechanism is commit and deliver: lines that truly change are committed with
 * one pending delivery per table, one delivery is in flight per table, the proxies' answers settle
 * it, laggards are bound again.
 */
public final class RoutingPolicy {
    /** Units of time; the module looks once a tick when nothing comes in. */
    private static final long SECOND = 1_000_000_000L, NEVER = Node.NEVER, TICK = SECOND / 10;

    /**
     * Load is averaged over so many reports, or answers if that takes longer; demand moves sooner.
     */
    private static final double WINDOW_REPORTS = 20, WINDOW_ANSWERS = 80, DEMAND_REPORTS = 2.5;

    /**
     * What like machines showed counts as so many answers of a node's own when its size is
     * estimated.
     */
    private static final double PRIOR_ANSWERS = 25;

    /** A weight steps once per this, over this part of the gap, once the gap leaves the band. */
    private static final long STEP_EVERY = SECOND;

    private static final double STEP_PART = 0.6, STEP_BAND = 0.08;

    /** Bounds of a weight against its start, and of a size against what its latency tells. */
    private static final double LEAST_SKILL = 0.25, MOST_SKILL = 3, LATE_SIZE = 1.3;

    /**
     * How far spare capacity leans to larger nodes, the least left to a small one, the pace, the
     * most.
     */
    private static final double LEAN = 1.3, LEAST_LEAN = 0.25, LEAN_PACE = 0.05, MOST_SLACK = 0.6;

    /** A line is committed anew when it differs by more than this part. */
    private static final double LINE_BAND = 0.07;

    /**
     * Evidence of health: how fast it decays, what a probe counts, what suffices, from what share.
     */
    private static final long HEALTH_WINDOW = 3 * SECOND;

    private static final double PROBE_TRIES = 3, LEAST_EVIDENCE = 7, SICK_SHARE = 0.35;
    private static final double SICK_SHARE_BUSY = 0.9, BUSY = 0.8;

    /**
     * A node without a good answer for so many reports, while others have them, is silent, not
     * busy.
     */
    private static final double FRESH_REPORTS = 2.5;

    /**
     * A sick node keeps a trickle, then a trial's part; if more of a table's size is sick, all are
     * well.
     */
    private static final double TRICKLE = 0.02, TRIAL = 0.1, MOST_SICK = 0.5;

    private static final long TRIAL_AFTER = 4 * SECOND;

    /** A node whose tries go unanswered is probed at the first pace, the others at the second. */
    private static final double SUSPECT_SHARE = 0.12;

    private static final long PROBE_SUSPECT = SECOND, PROBE_EVERY = 4 * SECOND;

    /**
     * WarmUp nodes are sent at most this multiple of what they can do by now; the load taken while
     * unheard.
     */
    private static final double COLD_LOAD = 1.2, UNHEARD_LOAD = 5;

    /**
     * The part of a cold node's weight where no node tells how busy it is: a storm is then seen
     * late.
     */
    private static final double COLD_BLIND = 0.6;

    /** The least time that a proxy has to answer, and the pace of ordinary deliveries. */
    private static final long PATIENCE = 2 * SECOND, DELIVERY_GAP = SECOND / 2;

    /**
     * Parts of the channel for ordinary deliveries, at what price, for heads usually and at most.
     */
    private static final double CHANNEL_USE = 0.85, CHANNEL_PRICE = 0.04;

    private static final double HEADS_USUAL = 0.12, HEADS_MOST = 0.4, HEADS_DRAIN = 0.8;

    /**
     * Parts of the queue's and messages' limits for deliveries and whole tables; drains have the
     * rest.
     */
    private static final double PART_CROWDED = 0.35, PART_DELIVERY = 0.5, PART_URGENT = 0.7;

    private static final double PART_WHOLE = 0.8, PART_DRAIN = 0.9;

    /**
     * Parts of a grace: what may wait in the channel, and how long a removal waits for its turn.
     */
    private static final double QUEUE_GRACE = 0.667, TURN_GRACE = 0.333;

    /**
     * Whole tables wait here, not in the channel; the least group; graces that a gone node may be
     * held.
     */
    private static final long BIND_DEPTH = SECOND / 2, LEAST_GROUP = 8;

    private static final long LEFT_GRACES = 2;

    /** The most parts that a light table's lines are dealt in, and the least lines of a part. */
    private static final int MOST_PARTS = 25, LEAST_LIGHT = 8;

    /**
     * The part that a crowd's tables take of the lines that would fit: more proxies may be about to
     * come.
     */
    private static final double LIGHT_USE = 0.5;

    /** A group is light while it has at most so many times the lines of a light table. */
    private static final double LIGHT_BAND = 1.5;

    /** The part of its share of all weights that a table keeps when lines are removed. */
    private static final double LEAST_LAID = 0.8;

    /**
     * Levels: how often set, the load kept to, what fall does not wait, when shedding starts and
     * ends.
     */
    private static final long LEVEL_EVERY = SECOND / 2;

    private static final double LEVEL_LOAD = 0.85, LEVEL_BAND = 0.1, LEVEL_FALLS = 0.75;
    private static final double SHED_FROM = 0.88, SHED_UNTIL = 0.78;

    /**
     * However much is offered, shedding starts only where nodes are so busy, and ends where they
     * are not.
     */
    private static final double SHED_BUSY = 0.6, SHED_IDLE = 0.5;

    private final PolicySettings settings;
    private final RandomGenerator random;
    private final TreeMap<NodeId, Node> nodes = new TreeMap<>();
    private final Map<NodeId, Node> index = new LinkedHashMap<>();
    private final TreeMap<ProxyId, Proxy> proxies = new TreeMap<>();
    private final List<ShardTable> tables = new ArrayList<>();
    private final DecayingSum lag = new DecayingSum(10 * SECOND),
            lagCount = new DecayingSum(10 * SECOND);
    private final DecayingSum covers = new DecayingSum(5 * SECOND),
            coverCount = new DecayingSum(5 * SECOND);
    private final TreeMap<ProxyId, Double> turn = new TreeMap<>();
    private final List<ProxyShard> groups = new ArrayList<>();
    private final Map<Integer, List<Node>> openNodes = new TreeMap<>();
    private final Map<MethodId, Double> demands = new TreeMap<>();
    private PolicyActions orders;
    private long now, sequence, nextStep, nextLevel, freeAt;
    private boolean started, listLost, awake, uncommitted, crowded, crowd, moved, shedding, told;
    private double slack, window, turnLines, unit = Double.NaN;
    private final InFlightMessages ledger = new InFlightMessages();
    private final TreeMap<MachineTypeId, Double> unitOfKind = new TreeMap<>(),
            latencyOfKind = new TreeMap<>();

    public RoutingPolicy(PolicySettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        layOutTables();
    }

    /**
     * One table for each set of methods open to the same nodes (one a zone where the proxy's zone
     * binds), laid once for each group of proxies: guards against a fleet so large that half the
     * queue has no room for one delivery to all; each group's deliveries leave for themselves.
     * Small fleets are one group.
     */
    private ProxyShard layOutTables() {
        ProxyShard group = new ProxyShard(settings, tables.size() + 1);
        if (!groups.isEmpty()) {
            group.takeLevels(groups.get(0));
        }
        tables.addAll(group.tables);
        groups.add(group);
        uncommitted = true;
        return group;
    }

    /**
     * Those of the first group: what is open to a table and what it should say is the same in each.
     */
    private List<ShardTable> firstTables() {
        return groups.get(0).tables;
    }

    /**
     * The emptiest of those; a new one once all are so large that a delivery of every line would
     * not fit.
     */
    private ProxyShard groupToJoin(Predicate<ProxyShard> those) {
        double lines = headAndMark() + firstTables().stream().mapToInt(t -> open(t).size()).sum();
        double most = Math.max(LEAST_GROUP, PART_DELIVERY * settings.queueLimitEntries() / lines);
        return groups.stream()
                .filter(g -> g.members.size() + 1 <= most && !g.abandoned() && those.test(g))
                .min(Comparator.comparing(g -> g.members.size()))
                .orElseGet(this::layOutTables);
    }

    /** Decides one round: {@code feed} brings what came in, {@code out} takes the orders. */
    public void round(long time, EventSource feed, PolicyActions out) {
        now = time;
        orders = out;
        openNodes.clear();
        feed.deliverTo(new Ear());
        demands.clear();
        if (settings.keyRangeTables()) {
            if (!started) {
                orders.log("slices are not decided by this module: their tables stay as they are");
            }
            started = true;
            return;
        }
        if (settings.listOnDemand() && (!started || listLost)) {
            orders.watchNodes();
        }
        awake |= !started;
        started = true;
        listLost = false;
        uncommitted |= awake;
        if (uncommitted) {
            tables.forEach(t -> t.counted = false);
        }
        if (awake) {
            awake = false;
            orders.startTimer(TICK);
            estimate();
            judge();
            probe();
            commitLevels();
        }
        gatherCrowd();
        if (uncommitted) {
            uncommitted = false;
            commit();
        }
        settle();
        crowded = false;
        groups.stream()
                .sorted(Comparator.comparing(group -> group.spokenAt))
                .toList()
                .forEach(this::deliver);
        bindOwed();
        closeTurn();
    }

    // ---- observe ----
    /**
     * Load and answers are averaged over so many reports, demand over fewer: where the intake
     * spaces reports out the window grows with their spacing.
     */
    private void add(WindowedRate rate, double reports, double part, double seconds) {
        rate.add(
                now,
                part,
                seconds,
                Math.max(
                        reports * settings.reportPeriodNanos(),
                        reports < WINDOW_REPORTS ? spacing() : window));
    }

    /**
     * The time between a node's reports as met: the intake may hand them out far slower than
     * gathered.
     */
    private double spacing() {
        return Math.max(
                settings.reportPeriodNanos(), covers.read(now) / Math.max(1, coverCount.read(now)));
    }

    private final class Ear implements EventHandler {
        private final Set<NodeId> listed = new TreeSet<>();
        private NodeListKind kind;

        @Override
        public void listStarted(NodeListKind kind) {
            this.kind = kind;
            listed.clear();
        }

        @Override
        public void nodeListed(
                NodeId id,
                MachineTypeId kind,
                ZoneId zone,
                double weight,
                NodeState state,
                long up) {
            listed.add(id);
            Node node = index.get(id);
            if (node == null) {
                node = new Node(id, HEALTH_WINDOW);
                node.stepped = !Double.isNaN(unit);
                node.skill = node.stepped ? unitOfKind.getOrDefault(kind, unit) / unit : 1;
                nodes.put(id, node);
                index.put(id, node);
            }
            node.kind = kind;
            node.zone = zone;
            node.listed = weight > 0 ? weight : 1;
            node.become(state, now);
            if (up > node.up) {
                node.restart(up, HEALTH_WINDOW);
            }
            openNodes.clear();
        }

        @Override
        public void listCompleted() {
            uncommitted = true;
            if (kind == NodeListKind.FULL || kind == NodeListKind.CACHED) {
                nodes.values().stream()
                        .filter(node -> !listed.contains(node.id))
                        .forEach(node -> node.become(NodeState.GONE, now));
            }
            listLost |= kind == NodeListKind.UNAVAILABLE;
            openNodes.clear();
        }

        @Override
        public void proxyJoined(ProxyId id, ZoneId zone, double rate) {
            proxyLeft(id);
            proxies.put(id, new Proxy(id, zone, rate, groupToJoin(group -> true), now));
        }

        @Override
        public void proxyLeft(ProxyId id) {
            Proxy proxy = proxies.remove(id);
            if (proxy != null) {
                proxy.leave();
                ledger.forget(id);
                tables.forEach(table -> table.inFlight.remove(id));
            }
        }

        /** The stream is ordered, so an answer also settles all that was sent before it. */
        @Override
        public void acknowledged(ProxyId id, int mark, long took) {
            long sequence = ledger.acknowledged(id, mark);
            if (sequence == 0) {
                return;
            }
            proxies.get(id).answered = sequence;
            lag.add(now, took);
            lagCount.add(now, 1);
            tables.stream()
                    .filter(table -> table.flightSequence <= sequence)
                    .forEach(table -> table.inFlight.remove(id));
        }

        @Override
        public void loadReported(
                NodeId id,
                ZoneId zone,
                int tries,
                int unanswered,
                double latency,
                long covers,
                double utilization) {
            Node node = nodes.getOrDefault(id, new Node(id, HEALTH_WINDOW));
            RoutingPolicy.this.covers.add(now, covers);
            coverCount.add(now, 1);
            node.tries.add(now, tries);
            node.unanswered.add(now, unanswered);
            node.answeredAt = tries > unanswered ? now : node.answeredAt;
            double seconds = covers / (double) SECOND;
            add(
                    node.tried.computeIfAbsent(zone, z -> new WindowedRate()),
                    DEMAND_REPORTS,
                    tries,
                    seconds);
            if (cold(node)) {
                return;
            }
            add(
                    node.answered.computeIfAbsent(zone, z -> new WindowedRate()),
                    WINDOW_REPORTS,
                    tries - unanswered,
                    seconds);
            if (!Double.isNaN(utilization)) {
                add(node.load, WINDOW_REPORTS, utilization * seconds, seconds);
                add(node.busy, DEMAND_REPORTS, utilization * seconds, seconds);
            }
            if (!Double.isNaN(latency)) {
                add(node.latency, WINDOW_REPORTS, latency * seconds, seconds);
            }
        }

        @Override
        public void demandReported(ProxyId id, MethodId method, int count, long covers) {
            Proxy proxy = proxies.get(id);
            if (proxy != null) {
                add(
                        proxy.offered.computeIfAbsent(method, m -> new WindowedRate()),
                        DEMAND_REPORTS,
                        count,
                        covers / (double) SECOND);
            }
        }

        /** A probe that was pushed back tells nothing of the node's health. */
        @Override
        public void healthChecked(NodeId id, HealthCheckResult verdict) {
            Node node = nodes.getOrDefault(id, new Node(id, HEALTH_WINDOW));
            if (verdict != HealthCheckResult.REJECTED) {
                node.tries.add(now, PROBE_TRIES);
                node.unanswered.add(now, verdict == HealthCheckResult.PASSED ? 0 : PROBE_TRIES);
            }
        }

        @Override
        public void timerFired() {
            awake = true;
        }
    }

    // ---- estimate ----
    private double perSecond(Map<ZoneId, WindowedRate> byZone) {
        return byZone.values().stream().mapToDouble(rate -> rate.perSecond(now)).sum();
    }

    /**
     * Units of size: RPCs a second that a listed weight of 1 answers at full load, over all and by
     * kind.
     */
    private void estimate() {
        ready().stream()
                .map(n -> n.kind)
                .distinct()
                .forEach(k -> latencyOfKind.put(k, meanLatency(k)));
        double meanLatency = meanLatency(null);
        double next = unitOf(null, meanLatency);
        if (!(next > 0)) {
            return;
        }
        unit = next;
        for (MachineTypeId kind : latencyOfKind.keySet()) {
            unitOfKind.merge(
                    kind, unitOf(kind, meanLatency), (old, fresh) -> fresh > 0 ? fresh : old);
        }
        double rate = ready().stream().mapToDouble(n -> perSecond(n.answered)).sum();
        window = WINDOW_ANSWERS * ready().size() / rate * SECOND;
        told =
                ready().stream()
                                .flatMap(n -> n.answered.values().stream())
                                .mapToDouble(r -> r.counted(now))
                                .sum()
                        > PRIOR_ANSWERS * latencyOfKind.size();
        if (now >= nextStep && told) {
            nextStep = now + STEP_EVERY;
            if (ready().stream().anyMatch(n -> fresh(n, now))) {
                double spare = Math.max(0, Math.min(MOST_SLACK, 1 - loadRatio()));
                slack = shedding ? 0 : Math.min(slack + LEAN_PACE, spare);
            }
            ready().stream()
                    .filter(n -> !n.sick && (fresh(n, now) || n.answeredAt == NEVER))
                    .forEach(node -> step(node, load(node, meanLatency)));
        }
    }

    /** The nodes not sick of a kind, of all if none is named. */
    private Stream<Node> well(MachineTypeId kind) {
        return ready().stream().filter(n -> !n.sick && (kind == null || kind.equals(n.kind)));
    }

    private double meanLatency(MachineTypeId kind) {
        return well(kind)
                .filter(n -> n.latency.known(now))
                .mapToDouble(n -> n.latency.perSecond(now))
                .average()
                .orElse(Double.NaN);
    }

    private double unitOf(MachineTypeId kind, double meanLatency) {
        List<Node> told = well(kind).filter(n -> !Double.isNaN(load(n, meanLatency))).toList();
        return told.stream().mapToDouble(n -> perSecond(n.answered)).sum()
                / told.stream().mapToDouble(n -> load(n, meanLatency) * n.listed).sum();
    }

    /** Utilization where it is told; else latency against the fleet's, as the design has it. */
    private double load(Node node, double meanLatency) {
        return node.load.known(now)
                ? Math.max(0.02, node.load.perSecond(now))
                : node.latency.known(now)
                        ? node.latency.perSecond(now) / meanLatency / 2
                        : Double.NaN;
    }

    /**
     * SimulatorActionWriter a weight towards what the node answers for its load, over a part of the
     * gap; all of it at the first step of the nodes there at a start: guards against small machines
     * that take as much as large ones. Without fresh answers it stays: guards against late sums
     * being read as a change of the machine. A node that answers later than its like is not held to
     * be larger: guards against reports that show too little load.
     */
    private void step(Node node, double load) {
        double prior = unitOfKind.getOrDefault(node.kind, unit) * node.listed;
        double answers = node.answered.values().stream().mapToDouble(r -> r.counted(now)).sum();
        double rate = perSecond(node.answered);
        double size =
                rate <= 0 || Double.isNaN(load)
                        ? prior
                        : (answers + PRIOR_ANSWERS)
                                / (answers * load / rate + PRIOR_ANSWERS / prior);
        if (load < BUSY && node.latency.known(now) && latencyOfKind.get(node.kind) > 0) {
            size =
                    Math.min(
                            size,
                            prior
                                    * LATE_SIZE
                                    * latencyOfKind.get(node.kind)
                                    / node.latency.perSecond(now));
        }
        double gap = size / (unit * node.size());
        if (Math.abs(gap - 1) > STEP_BAND) {
            double part = node.stepped ? STEP_PART : 1;
            node.skill =
                    Math.max(LEAST_SKILL, Math.min(MOST_SKILL, node.skill * Math.pow(gap, part)));
        }
        node.stepped = true;
    }

    private boolean fresh(Node node, long at) {
        return at - node.answeredAt < FRESH_REPORTS * spacing();
    }

    private List<Node> ready() {
        return nodes.values().stream().filter(Node::ready).toList();
    }

    /**
     * RPCs a second that nodes with a line can do by now, in the widest table; NaN before anything
     * was heard. Guards against few nodes that carry all while the lines of returned ones wait for
     * a slow channel.
     */
    private double able() {
        return unit
                * firstTables().stream()
                        .mapToDouble(
                                table ->
                                        open(table).stream()
                                                .filter(
                                                        n ->
                                                                tables.stream()
                                                                        .anyMatch(
                                                                                t ->
                                                                                        t.serves(
                                                                                                        table.like,
                                                                                                        table.home)
                                                                                                && t
                                                                                                        .laid
                                                                                                        .containsKey(
                                                                                                                n.id)))
                                                .mapToDouble(n -> n.size() * present(n, table))
                                                .sum())
                        .max()
                        .orElse(0);
    }

    /** The same for like tables of all groups, and asked for as each proxy joins: sought once. */
    private List<Node> open(ShardTable table) {
        return openNodes.computeIfAbsent(
                table.group.tables.indexOf(table),
                place ->
                        nodes.values().stream()
                                .filter(node -> usable(node) && table.open(node))
                                .toList());
    }

    private Node node(NodeId id) {
        return index.get(id);
    }

    private boolean cold(Node node) {
        return node.cold(now, settings.warmUpNanos());
    }

    /**
     * A cold node stays out of the tables until what old ones sent it lies behind: guards against a
     * restart as a lost site returns, and a list that flaps; some nodes are idle for seconds by it.
     */
    private boolean usable(Node node) {
        return node.ready()
                && (!cold(node)
                        || now - node.removedAt
                                > settings.drainTimeoutNanos() + settings.coldWindowNanos());
    }

    /**
     * The part of its size that a node can be held to have by now: it warms evenly at the slowest.
     */
    private double warmth(Node node) {
        return cold(node)
                ? settings.coldCapacityRatio()
                        + (1 - settings.coldCapacityRatio())
                                * Math.max(0, now - node.up)
                                / settings.warmUpNanos()
                : 1;
    }

    private static double size(List<Node> nodes, boolean sickOnly) {
        return nodes.stream().filter(n -> n.sick || !sickOnly).mapToDouble(Node::size).sum();
    }

    private double present(Node node, ShardTable table) {
        return warmth(node) * fitness(node, table);
    }

    // ---- judge health ----
    /**
     * A node is sick when its unanswered share stands out from the others': guards against nodes
     * that abort, hang or are lost before the list tells. One that is busy and answers is
     * overloaded: without it the others would be pushed over. It does harm if few RPCs cost far
     * more at one node; a trickle and a trial remain.
     */
    private void judge() {
        double tries = ready().stream().mapToDouble(n -> n.tries.read(now)).sum();
        double unanswered = ready().stream().mapToDouble(n -> n.unanswered.read(now)).sum();
        long newest = ready().stream().mapToLong(n -> n.answeredAt).max().orElse(now);
        for (Node node : ready()) {
            double others =
                    (unanswered - node.unanswered.read(now))
                            / Math.max(1, tries - node.tries.read(now));
            boolean busy =
                    fresh(node, newest) && node.load.known(now) && node.load.perSecond(now) > BUSY;
            double plain = Math.max(SICK_SHARE, 2 * others + 0.15);
            double bound = busy ? Math.max(SICK_SHARE_BUSY, plain) : plain;
            double share = node.unansweredShare(now);
            if (!node.sick && node.tries.read(now) >= LEAST_EVIDENCE && share > bound) {
                node.sick = true;
                node.sickSince = now;
                orders.log(
                        "node "
                                + node.id.value()
                                + " sick: "
                                + figure(share)
                                + " of "
                                + figure(node.tries.read(now))
                                + " tries unanswered, others "
                                + figure(others));
            } else if (node.sick && node.tries.read(now) >= 2 && share < plain / 2) {
                node.sick = false;
                orders.log(
                        "node "
                                + node.id.value()
                                + " well: "
                                + figure(share)
                                + " unanswered after "
                                + figure((now - node.sickSince) / (double) SECOND)
                                + " s");
            }
        }
        for (ShardTable table : firstTables()) {
            double sick = size(open(table), true);
            double all = size(open(table), false);
            boolean panic = sick > MOST_SICK * all;
            if (panic != table.panic) {
                String mode = panic ? " counts all nodes as well: " : " trusts health: ";
                orders.log(
                        "table "
                                + table.id.value()
                                + mode
                                + figure(sick)
                                + " of "
                                + figure(all)
                                + " sick");
            }
            table.panic = panic;
        }
    }

    /**
     * The part of its weight that health leaves a node; a panic bound keeps a table from emptying.
     */
    private double fitness(Node node, ShardTable table) {
        return table.panic || !node.sick ? 1 : now - node.sickSince < TRIAL_AFTER ? TRICKLE : TRIAL;
    }

    private void probe() {
        for (Node node : settings.healthChecksAllowed() ? ready() : List.<Node>of()) {
            boolean suspect = node.sick || node.unansweredShare(now) > SUSPECT_SHARE;
            if (now - node.probedAt >= (suspect ? PROBE_SUSPECT : PROBE_EVERY)) {
                node.probedAt = now - random.nextLong(PROBE_SUSPECT / 2);
                orders.checkHealth(node.id);
            }
        }
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    // ---- commit ----
    /**
     * Commits what truly differs, each change with the table's one pending delivery. What counts as
     * different grows with the seconds of channel that a whole new table for all proxies would
     * take. Done once a tick, and as the list or the groups change: it costs a look at each node
     * for each group.
     */
    private void commit() {
        double load = loadRatio();
        List<ShardTable> byRoom = new ArrayList<>(firstTables());
        byRoom.sort(Comparator.comparingInt(t -> open(t).size()));
        Map<NodeId, Double> spoken = new TreeMap<>();
        byRoom.forEach(table -> commit(table, wanted(table, load, spoken)));
    }

    private void commit(ShardTable like, Map<NodeId, Double> alike) {
        for (ShardTable table :
                tables.stream().filter(t -> t.serves(like.like, like.home)).toList()) {
            double band =
                    LINE_BAND
                            * (1
                                    + 0.5
                                            * alike.size()
                                            * proxies.size()
                                            / settings.entriesPerSecond());
            List<NodeId> removed =
                    table.committed.keySet().stream().filter(id -> !alike.containsKey(id)).toList();
            boolean changed = !removed.isEmpty();
            removed.forEach(id -> table.stage(id, 0));
            for (Map.Entry<NodeId, Double> line : alike.entrySet()) {
                double weight = line.getValue();
                double old = table.committed.getOrDefault(line.getKey(), 0.0);
                if (Math.abs(weight - old) > band * old) {
                    table.stage(line.getKey(), weight);
                    changed = true;
                }
            }
            table.version += changed ? 1 : 0;
        }
    }

    /**
     * Each open node by its size, what more restricted tables take of it, its warmth and its
     * health. The bound on cold nodes guards against a site that returns cold into a storm of
     * repeats, also under a conductor that has just started; it does harm where the warm nodes are
     * the overloaded ones.
     */
    private Map<NodeId, Double> wanted(ShardTable table, double load, Map<NodeId, Double> spoken) {
        List<Node> open = open(table);
        double mean = open.stream().mapToDouble(n -> n.listed).average().orElse(1);
        double most = open.stream().anyMatch(n -> n.busy.known(now)) ? 1 : COLD_BLIND;
        Map<NodeId, Double> wanted = new LinkedHashMap<>();
        for (Node node : open) {
            double size = node.size();
            double taken = spoken.getOrDefault(node.id, 0.0) / Math.max(load, 0.1);
            double weight = lean(Math.max(0.1 * size, size - taken) / mean) * present(node, table);
            if (cold(node)) {
                double heard = Double.isNaN(unit) ? UNHEARD_LOAD : Math.max(load, 1e-9);
                weight *= Math.min(most, COLD_LOAD / heard);
            }
            wanted.put(node.id, Math.max(weight, 1e-4));
        }
        double sum = wanted.values().stream().mapToDouble(w -> w).sum();
        double share = table.methods.stream().mapToDouble(this::demand).sum() / unit;
        if (firstTables().size() > 1 && !Double.isNaN(share)) {
            wanted.forEach((id, weight) -> spoken.merge(id, share * weight / sum, Double::sum));
        }
        return wanted;
    }

    /**
     * With room to spare the larger nodes take more than their part: each node keeps slack by the
     * root of its size, which is what costs the least waiting; near capacity nothing of that is
     * left.
     */
    private double lean(double size) {
        return Math.max(LEAST_LEAN * size, size - LEAN * slack * Math.sqrt(size))
                / (1 - LEAN * slack);
    }

    /** Tries a second against what all ready nodes can do by now; 0 before anything was heard. */
    private double loadRatio() {
        double tried = nodes.values().stream().mapToDouble(n -> perSecond(n.tried)).sum();
        return Double.isNaN(unit) ? 0 : tried / Math.max(able(), 1e-9);
    }

    // ---- deliver ----
    /**
     * How long a proxy has to answer: stretched by the lag met and by what the channel may still
     * hold.
     */
    private long patience() {
        double met = lag.read(now) / Math.max(1, lagCount.read(now));
        double queue = waiting() / settings.entriesPerSecond() * SECOND;
        return Math.max(
                PATIENCE, (long) (3 * met + 4 * queue + settings.maxPropagationDelayNanos()));
    }

    /** Unanswered lines bound the queue from above, however slow the channel is. */
    private double waiting() {
        return ledger.entries() + turnLines;
    }

    private double headAndMark() {
        return settings.messageOverheadEntries() + 1;
    }

    /**
     * ChannelCapacity for lines besides what waits. A removal waits behind all of it, so it must
     * leave well within the grace, whatever the limit allows.
     */
    private double room(double part) {
        double inTime = part * QUEUE_GRACE * 2 * inHalfAGrace() + onTheWay();
        return Math.min(part * settings.queueLimitEntries(), inTime) - waiting();
    }

    /** Lines that left the channel and were not answered yet. */
    private double onTheWay() {
        return settings.entriesPerSecond() * settings.maxPropagationDelayNanos() / SECOND;
    }

    /** It may hold what left, and its grace runs: while no node comes or goes there is no haste. */
    private boolean late(Proxy proxy) {
        return moved && !proxy.bound && now - proxy.waitsSince > thirdOfGrace();
    }

    private int messages(Proxy proxy) {
        return proxy.messages(now, settings.messageWindowNanos());
    }

    /** Lines of nodes that left and that the followers of a group still have. */
    private Stream<Node> leftNodes(ProxyShard group) {
        return group.tables.stream()
                .flatMap(t -> t.laid.keySet().stream())
                .map(this::node)
                .filter(n -> !n.ready());
    }

    /** When the first of what left and is still held was told, now if there is none. */
    private long told(ProxyShard group) {
        return leftNodes(group).mapToLong(n -> n.leftAt).min().orElse(now);
    }

    private long thirdOfGrace() {
        return (long) (TURN_GRACE * settings.drainTimeoutNanos());
    }

    /**
     * The earlier deadline goes first: removals wait a third of their grace while proxies wait to
     * be bound that were there before the nodes left, but not past the time at which they still
     * leave within the grace behind all that waits. Guards against later removals that hold up a
     * crowd.
     */
    private boolean removalsWait(ProxyShard group) {
        long told = told(group);
        double queue = (waiting() + onTheWay()) / settings.entriesPerSecond() * SECOND;
        long latest = (long) (PART_DRAIN * settings.drainTimeoutNanos() - queue);
        return crowd
                && now - told < Math.min(thirdOfGrace(), latest)
                && unbound().stream().anyMatch(p -> p.waitsSince < told);
    }

    private double roomForRemovals() {
        return PART_DRAIN * Math.min(settings.queueLimitEntries(), 2 * inHalfAGrace()) - waiting();
    }

    private boolean mayWrite(Proxy proxy, double part) {
        return settings.messageLimit() == 0
                || turn.containsKey(proxy.id)
                || messages(proxy) + 1 <= part * settings.messageLimit();
    }

    /**
     * A delivery unanswered too long is closed; its laggards are owed the table, unbound ones
     * nothing.
     */
    private void settle() {
        long patience = patience();
        for (ShardTable table : tables) {
            if (!table.inFlight.isEmpty() && now - table.sentAt > patience) {
                orders.log(
                        "table "
                                + table.id.value()
                                + " version "
                                + table.version
                                + ": "
                                + table.inFlight.size()
                                + " proxies owe an answer; bound again");
                table.inFlight.stream()
                        .map(proxies::get)
                        .forEach(proxy -> proxy.owed |= proxy.wholeSequence < table.flightSequence);
                table.inFlight.clear();
            }
        }
        for (Proxy proxy : proxies.values()) {
            if (!proxy.bound) {
                ledger.expire(proxy.id, now - patience);
            }
            proxy.owed |=
                    proxy.bound
                            && proxy.wholeSequence > proxy.answered
                            && now - proxy.wholeAt > patience;
        }
    }

    /**
     * Proxies bring tables of another conductor, and keep what left lately in them until they are
     * bound. Where that takes over half a grace for all that wait, they gather in groups whose
     * tables are laid light, each with other lines; the rest follows. A light group takes more
     * until it is full: else each few that are bound would leave the rest a new group, and rounds
     * grow with groups. Guards against sends to nodes that left when a crowd comes; it does harm
     * where a part's nodes are slow.
     */
    private void gatherCrowd() {
        long lately = now - LEFT_GRACES * settings.drainTimeoutNanos();
        moved =
                nodes.values().stream()
                        .anyMatch(n -> n.up > lately || !n.ready() && n.leftAt > lately);
        if (moved) {
            releaseWhatCannotBeTold();
        }
        int full = firstTables().stream().mapToInt(t -> open(t).size()).sum();
        List<Proxy> unbound = unbound();
        double each = (inHalfAGrace() - waiting()) / Math.max(1, unbound.size()) - headAndMark();
        crowd = !unbound.isEmpty() && each < full && moved;
        int parts =
                (int)
                        Math.max(
                                1,
                                Math.min(
                                        MOST_PARTS,
                                        full / Math.max(LEAST_LIGHT, LIGHT_USE * each)));
        double light =
                LIGHT_BAND * Math.max(LEAST_LIGHT * firstTables().size(), (double) full / parts);
        if (crowd) {
            gatherInLightGroups(unbound, light, parts);
        }
        tables.forEach(
                t -> t.parts = crowd && t.group.free() ? parts : t.pending.isEmpty() ? 1 : t.parts);
    }

    /**
     * As many groups as there are parts share the crowd: guards against parts that no group has,
     * whose nodes would stand idle while the others bear all. A group that still holds what left
     * takes no more.
     */
    private void gatherInLightGroups(List<Proxy> unbound, double mostLines, int parts) {
        Set<ProxyShard> light = new HashSet<>(groups);
        light.removeIf(
                g -> !g.free() && (g.lines() > mostLines || leftNodes(g).findAny().isPresent()));
        long gathered =
                proxies.values().stream().filter(p -> !p.bound || light.contains(p.group)).count();
        long share = (gathered + parts - 1) / parts;
        for (Proxy proxy : unbound) {
            if (!light.contains(proxy.group) || proxy.group.members.size() > share) {
                proxy.move(groupToJoin(g -> light.contains(g) && g.members.size() < share));
                light.add(proxy.group);
            }
        }
    }

    /**
     * Groups that hold more of what left than a light table has lines are bound anew, where the
     * channel can't take all removals within half a grace: guards against a release of most nodes
     * within a grace.
     */
    private void releaseWhatCannotBeTold() {
        Map<ProxyShard, Long> left = new LinkedHashMap<>();
        groups.stream()
                .filter(g -> !g.free() && !g.abandoned())
                .forEach(g -> left.put(g, leftNodes(g).count()));
        left.values().removeIf(lines -> lines == 0);
        double all =
                left.entrySet().stream()
                        .mapToDouble(e -> e.getKey().followers() * (e.getValue() + headAndMark()))
                        .sum();
        if (waiting() + all < inHalfAGrace()) {
            return;
        }
        left.forEach(
                (group, lines) -> {
                    if (lines > LEAST_LIGHT) {
                        List.copyOf(group.members.values()).forEach(this::release);
                        group.tables.forEach(t -> t.inFlight.clear());
                    }
                });
    }

    /** It follows its old group's tables until it is bound in another. */
    private void release(Proxy proxy) {
        long told = told(proxy.group);
        proxy.waitsSince = proxy.bound ? Math.max(told, proxy.waitsSince) : proxy.waitsSince;
        proxy.bound = false;
        proxy.owed = true;
        proxy.move(groupToJoin(ProxyShard::free));
    }

    /**
     * Lines that the channel carries in half the time in which what left must be out of all tables.
     */
    private double inHalfAGrace() {
        return settings.entriesPerSecond() * settings.drainTimeoutNanos() / 2 / SECOND;
    }

    /** Lays a table anew that nobody is bound to, so that it costs nothing. */
    private void layLight(ShardTable table) {
        long parts = Math.max(1, Math.min(table.parts, table.committed.size() / LEAST_LIGHT));
        Set<NodeId> all = new TreeSet<>(table.laid.keySet());
        all.addAll(table.committed.keySet());
        int place = groups.indexOf(table.group);
        for (NodeId id : all) {
            double wanted = table.committed.getOrDefault(id, 0.0);
            double weight = place++ % parts == 0 ? wanted : 0;
            if (table.laid.getOrDefault(id, 0.0) != weight) {
                orders.setWeight(table.id, id, weight);
            }
            ShardTable.put(table.laid, id, weight);
            ShardTable.put(table.pending, id, weight == wanted ? 0 : wanted);
        }
        table.counted = false;
    }

    /**
     * Joined proxies and laggards get whole tables, the busiest first, but those that wait for half
     * a grace before all: guards against a node that leaves and stays too long in the table of
     * another.
     */
    private void bindOwed() {
        List<Proxy> owed = new ArrayList<>(proxies.values().stream().filter(p -> p.owed).toList());
        owed.sort(
                Comparator.comparing((Proxy p) -> crowd || late(p) ? p.waitsSince : now)
                        .thenComparing(p -> -p.rate)
                        .thenComparing(p -> p.id));
        double depth =
                settings.entriesPerSecond()
                        * (BIND_DEPTH + settings.maxPropagationDelayNanos() / 2)
                        / SECOND;
        crowded |= tables.stream().anyMatch(t -> drained(t) > 0);
        double part =
                Math.min(crowded ? PART_CROWDED : PART_WHOLE, depth / settings.queueLimitEntries());
        tables.stream().filter(t -> crowd && t.group.free()).forEach(this::layLight);
        if (!owed.isEmpty()) {
            tables.stream().filter(t -> t.laid.isEmpty()).forEach(t -> send(t, Integer.MAX_VALUE));
        }
        for (Proxy proxy : owed) {
            List<ShardTable> own =
                    proxy.group.tables.stream()
                            .filter(t -> t.usedBy(proxy) && !t.laid.isEmpty())
                            .toList();
            double lines =
                    own.stream().mapToDouble(t -> 1 + t.laid.size() + t.methods.size()).sum();
            double most = crowd ? PART_URGENT : late(proxy) ? Math.max(part, PART_DELIVERY) : part;
            double room = (crowd && late(proxy) ? roomForRemovals() : room(most)) - headAndMark();
            if (!mayWrite(proxy, PART_WHOLE) || room < lines || own.isEmpty()) {
                continue;
            }
            own.forEach(table -> orders.subscribe(proxy.id, table.methods, table.id));
            reach(proxy, lines);
            proxy.bind();
            proxy.owed = false;
            proxy.wholeSequence = sequence + 1;
            proxy.wholeAt = now;
        }
    }

    /**
     * Sends each table's pending delivery if none is in flight; what does not fit the budget stays
     * pending. All tables' deliveries share a turn, and turns are spaced so that heads leave the
     * channel to lines: guards against many small changes that fill the queue and use up messages;
     * single changes wait.
     */
    private void deliver(ProxyShard group) {
        List<ShardTable> due =
                group.tables.stream()
                        .filter(t -> !t.pending.isEmpty() || !t.pendingLevels.isEmpty())
                        .toList();
        if (due.isEmpty() || group.abandoned()) {
            return;
        }
        List<Proxy> bound = group.members.values().stream().filter(p -> p.bound).toList();
        boolean urgent = due.stream().anyMatch(this::urgent);
        boolean drain = due.stream().anyMatch(t -> drained(t) > 0);
        double part = drain ? PART_DRAIN : urgent ? PART_URGENT : PART_DELIVERY;
        boolean paced = !urgent && due.stream().noneMatch(t -> t.parts > 1);
        if (now - group.spokenAt < gap(part, due, bound)
                || paced && now < freeAt
                || bound.stream().anyMatch(p -> !mayWrite(p, part))
                || drain && removalsWait(group)) {
            return;
        }
        for (ShardTable table : due) {
            if ((crowd || !table.inFlight.isEmpty()) && !urgent(table)
                    || crowd && bound.isEmpty()) {
                continue;
            }
            boolean first = bound.stream().noneMatch(p -> turn.containsKey(p.id));
            double head = (first ? headAndMark() : 0) + table.pendingLevels.size();
            double users = Math.max(1, group.members.size());
            double kept =
                    tables.stream()
                            .filter(t -> t.group != group && drained(t) > 0)
                            .mapToDouble(t -> (drained(t) + headAndMark()) * t.users().size())
                            .sum();
            double before = drained(table) > 0 ? roomForRemovals() : room(PART_URGENT) - kept;
            int fit =
                    (int)
                            Math.floor(
                                    Math.max(
                                            (room(PART_DELIVERY) - kept) / users - head,
                                            Math.min(drained(table), before / users - head)));
            boolean wait =
                    crowd
                            || table.parts > 1
                                    && waiting() > settings.entriesPerSecond() + onTheWay();
            double rest = Math.max(3 * headAndMark(), settings.entriesPerSecond() / proxies.size());
            fit = (int) Math.min(fit, pressing(table) + (wait ? 0 : table.parts > 1 ? rest : fit));
            double worth =
                    Math.max(
                            settings.messageOverheadEntries(),
                            ((room(PART_DELIVERY) + waiting()) / users - head) / 2);
            double least =
                    drained(table) > 0
                            ? Math.min(drained(table), settings.messageOverheadEntries())
                            : urgent(table) || waiting() == 0
                                    ? 0
                                    : Math.min(table.pending.size(), worth);
            if (bound.isEmpty() || fit >= least && fit + table.pendingLevels.size() > 0) {
                send(table, bound.isEmpty() ? Integer.MAX_VALUE : fit);
                group.spokenAt = now;
            } else {
                crowded = true;
            }
        }
    }

    /**
     * Heads may take four tenths of the channel if much has changed or cannot wait, else an eighth.
     * A removal waits a third of its grace at most.
     */
    private long gap(double part, List<ShardTable> due, List<Proxy> bound) {
        boolean urgent = part > PART_DELIVERY;
        boolean much =
                urgent || due.stream().mapToInt(t -> t.pending.size()).sum() > 1.5 * headAndMark();
        double heads = headAndMark() * proxies.size() / settings.entriesPerSecond() * SECOND;
        long turns = (long) (heads / (much ? HEADS_MOST : HEADS_USUAL));
        if (part == PART_DRAIN) {
            turns = Math.max((long) (heads / HEADS_DRAIN), Math.min(turns, thirdOfGrace()));
        }
        int most = bound.stream().mapToInt(this::messages).max().orElse(0);
        long messages =
                4 * most > settings.messageLimit() && settings.messageLimit() > 0
                        ? (long) (settings.messageWindowNanos() / (part * settings.messageLimit()))
                        : 0;
        return Math.max(Math.max(urgent ? 0 : DELIVERY_GAP, turns), messages);
    }

    /**
     * Does not wait for a delivery in flight: a node that left, a cold node still held at a higher
     * weight (a restart under an old line), no ready node, a level that falls or is lifted
     * (refusals come back).
     */
    private boolean urgent(ShardTable table) {
        return pressing(table) > 0
                || table.abrupt
                || table.laid.keySet().stream().noneMatch(id -> node(id).ready());
    }

    private int pressing(ShardTable table) {
        count(table);
        return table.pressing;
    }

    private int drained(ShardTable table) {
        count(table);
        return table.drained;
    }

    /** Asked for many times a round, by each group of all others. */
    private void count(ShardTable table) {
        if (!table.counted) {
            table.counted = true;
            table.drained =
                    (int) table.pending.keySet().stream().filter(id -> !node(id).ready()).count();
            table.pressing =
                    table.drained
                            + (int)
                                    table.pending.keySet().stream()
                                            .filter(id -> node(id).ready() && tooHigh(table, id))
                                            .count()
                            + replacements(table);
        }
    }

    /**
     * The lines that must follow removals, so that what is left of a table does not bear what left:
     * guards against cold nodes that stay behind in a light table and get all of its proxies'
     * requests.
     */
    private int replacements(ShardTable table) {
        double laid =
                table.laid.entrySet().stream()
                        .filter(line -> node(line.getKey()).ready())
                        .mapToDouble(Map.Entry::getValue)
                        .sum();
        double least =
                LEAST_LAID
                        * table.committed.values().stream().mapToDouble(w -> w).sum()
                        / table.parts;
        if (table.laid.isEmpty() || laid >= least) {
            return 0;
        }
        return table.linesToGain(least - laid);
    }

    private boolean tooHigh(ShardTable table, NodeId id) {
        return cold(node(id)) && table.laid.getOrDefault(id, 0.0) > 1.5 * table.pending.get(id);
    }

    /**
     * Sends levels and so many lines: nodes that left, cold ones held too high, then the largest
     * changes.
     */
    private void send(ShardTable table, int most) {
        List<NodeId> changes = new ArrayList<>(table.pending.keySet());
        changes.sort(
                Comparator.comparing((NodeId id) -> node(id).ready())
                        .thenComparing(id -> !tooHigh(table, id))
                        .thenComparing(
                                id ->
                                        -Math.abs(
                                                table.pending.get(id)
                                                        - table.laid.getOrDefault(id, 0.0))));
        changes = changes.subList(0, Math.min(most, changes.size()));
        int sent = changes.size() + table.pendingLevels.size();
        for (NodeId id : changes) {
            double weight = table.pending.remove(id);
            orders.setWeight(table.id, id, weight);
            ShardTable.put(table.laid, id, weight);
            node(id).removedAt = weight == 0 ? now : node(id).removedAt;
        }
        table.counted = false;
        changes.forEach(id -> shut(node(id)));
        table.pendingLevels.forEach(
                (method, level) -> orders.setAdmissionLimit(table.id, method, level));
        table.pendingLevels.clear();
        table.abrupt = false;
        table.flightSequence = sequence + 1;
        table.sentAt = now;
        for (Proxy proxy : table.users()) {
            reach(proxy, sent);
            table.inFlight.add(proxy.id);
        }
        double lines = table.inFlight.size() * (sent + headAndMark());
        double use = Math.min(CHANNEL_USE, CHANNEL_PRICE / settings.channelCost());
        freeAt =
                Math.max(now, freeAt) + (long) (lines / settings.entriesPerSecond() / use * SECOND);
    }

    /**
     * Proxies not yet bound may hold a node that left: for them it is shut out until it is laid
     * again.
     */
    private void shut(Node node) {
        boolean held = tables.stream().anyMatch(t -> t.laid.containsKey(node.id));
        boolean fits = !crowd && unbound().size() * (headAndMark() + 2) < roomForRemovals();
        if (node.withdrawn ? held : !held && !node.ready() && !unbound().isEmpty() && fits) {
            node.withdrawn = !held;
            orders.setExcluded(node.id, node.withdrawn);
            unbound().forEach(proxy -> reach(proxy, 1));
        }
    }

    private List<Proxy> unbound() {
        return proxies.values().stream().filter(p -> !p.bound).toList();
    }

    private void reach(Proxy proxy, double lines) {
        turnLines += lines + (turn.containsKey(proxy.id) ? 0 : headAndMark());
        turn.merge(proxy.id, headAndMark() + lines, (old, more) -> old + lines);
    }

    /** All orders of a round are one message for each proxy reached, with one mark. */
    private void closeTurn() {
        if (turn.isEmpty()) {
            return;
        }
        sequence++;
        orders.requestAcknowledgement((int) (sequence & 0xFFFF));
        turn.forEach(
                (id, lines) -> {
                    ledger.written(id, sequence, lines, now);
                    proxies.get(id).written.addLast(now);
                });
        turn.clear();
        turnLines = 0;
    }

    // ---- levels ----
    /** Proxies that no sum has told of yet, such as ones just joined, count by their usual rate. */
    private double demand(MethodId method) {
        return demands.computeIfAbsent(method, this::reckonDemand);
    }

    private double reckonDemand(MethodId method) {
        double heard = 0, usual = 0, all = 0;
        for (Proxy proxy : proxies.values()) {
            WindowedRate rate = proxy.offered.get(method);
            heard += rate == null ? 0 : rate.perSecond(now);
            usual += rate == null ? 0 : proxy.rate;
            all += proxy.rate;
        }
        return usual > 0 ? heard * all / usual : heard;
    }

    /** Sheds by offered load, the lowest criticality first. */
    private void commitLevels() {
        if (now < nextLevel) {
            return;
        }
        nextLevel = now + LEVEL_EVERY;
        judgeLoad();
        for (ShardTable table : tables) {
            for (MethodId method : table.methods) {
                double share = shedding ? share(settings.methods().get(method.value())) : 1;
                commitLevel(
                        table,
                        method,
                        share >= 0.98 ? Double.POSITIVE_INFINITY : level(method, share));
            }
        }
    }

    /**
     * How busy the nodes say they are by now, by size; NaN if none ever tells. Warm ones not heard
     * count as idle: guards against the first few reports after a start, which may come from the
     * busiest.
     */
    private double busy() {
        List<Node> warm = ready().stream().filter(n -> !cold(n)).toList();
        return warm.stream().noneMatch(n -> n.busy.known(now))
                ? Double.NaN
                : warm.stream().mapToDouble(n -> n.busy.perSecond(now) * n.size()).sum()
                        / size(warm, false);
    }

    /**
     * What is offered counts repeats of what was pushed back, and grows at once where proxies come,
     * while what nodes can do is learned slowly: shedding would go on by itself. Guards against
     * that by what nodes say of themselves, and by waiting after a start; it sheds late where
     * reports are late.
     */
    private void judgeLoad() {
        double offered =
                firstTables().stream()
                        .flatMap(t -> t.methods.stream())
                        .mapToDouble(this::demand)
                        .sum();
        double able = able();
        double ratio = Double.isNaN(unit) ? 0 : offered / Math.max(able, 1e-9);
        boolean shed =
                settings.throttle() != PolicySettings.Throttle.NONE
                        && told
                        && ratio > (shedding ? SHED_UNTIL : SHED_FROM)
                        && !(busy() < (shedding ? SHED_IDLE : SHED_BUSY));
        if (shed != shedding) {
            shedding = shed;
            orders.log(
                    (shed ? "shedding: offered " : "shedding ends: offered ")
                            + figure(offered)
                            + "/s, able "
                            + figure(able)
                            + "/s");
        }
    }

    /**
     * The share of a method that fits once all of higher criticality is let in; equals share alike.
     */
    private double share(PolicySettings.Method method) {
        double left = LEVEL_LOAD * able();
        double wanted = 0;
        for (int m = 0; m < settings.methods().size(); m++) {
            double criticality = settings.methods().get(m).priorityWeight();
            left -= criticality > method.priorityWeight() ? demand(new MethodId(m)) : 0;
            wanted += criticality == method.priorityWeight() ? demand(new MethodId(m)) : 0;
        }
        return Math.max(0, Math.min(1, left / Math.max(wanted, 1e-9)));
    }

    /**
     * A level as the proxies count it: a share, or the rate at each that cuts the busiest first.
     */
    private double level(MethodId method, double share) {
        if (settings.throttle() == PolicySettings.Throttle.SHARE) {
            return share;
        }
        double[] rates =
                proxies.values().stream()
                        .filter(p -> p.offered.containsKey(method))
                        .mapToDouble(p -> p.offered.get(method).perSecond(now))
                        .sorted()
                        .toArray();
        return FairShare.limit(rates, share * Arrays.stream(rates).sum());
    }

    private void commitLevel(ShardTable table, MethodId method, double level) {
        double old = table.levels.getOrDefault(method, Double.POSITIVE_INFINITY);
        if (Double.isInfinite(old) != Double.isInfinite(level)
                || Math.abs(level - old) > LEVEL_BAND * old) {
            table.abrupt |= level < LEVEL_FALLS * old || Double.isInfinite(level);
            table.levels.put(method, level);
            table.pendingLevels.put(method, level);
            table.version++;
        }
    }
}
