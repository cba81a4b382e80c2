package rosespread.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import rosespread.api.EventHandler.NodeState;
import rosespread.channel.Frame;
import rosespread.testbed.SiteDefinition;
import rosespread.testbed.TrafficRecorder;

/**
 * Judges the five rules from what the stand-ins' ends of the sockets saw, and from nothing else but
 * the contract and the times at which a conductor's process or the links were held up by the
 * scenario.
 */
final class InvariantChecker implements TrafficRecorder {
    private static final double MILLI = 1e6;
    private static final int BREAKS_KEPT = 20;
    private static final double OUT_OF_MEASURE = 10;
    private static final double INFORMED_SHARE = 2 / 3.0;

    /** One rule's verdict. */
    static final class InvariantResult {
        long checked;
        double worst;
        double limit;
        String worstAt = "";
        final List<String> breaks = new ArrayList<>();
        long broken;

        /** Null while there was no occasion to break it. */
        Boolean kept() {
            return broken > 0 ? Boolean.FALSE : checked == 0 ? null : Boolean.TRUE;
        }

        void value(double value, String where) {
            if (value > worst) {
                worst = value;
                worstAt = where;
            }
        }

        void broke(String text) {
            broken++;
            if (breaks.size() < BREAKS_KEPT) {
                breaks.add(text);
            }
        }
    }

    private static final class Told {
        NodeState state = NodeState.GONE;
        long since;
        long started;
        String kind = "";

        /**
         * The longest that a joined proxy went on sending since it was told and the proxy was
         * joined.
         */
        long longest;
    }

    private static final class Proxy {
        String conductor;
        long joinedAt;
        long firstMessage = Long.MIN_VALUE;
        long lastMessage = Long.MIN_VALUE;
        final Map<String, Boolean> pickable = new HashMap<>();
        final Map<String, Long> lackSince = new HashMap<>();
        final Map<Integer, Map<String, Double>> tables = new TreeMap<>();
        final ArrayDeque<Long> messages = new ArrayDeque<>();
        final Map<Integer, Long> highest = new TreeMap<>();
    }

    /** What proxies of a conductor answered for: the digest of each version, by table. */
    private final Map<String, Map<Integer, TreeMap<Long, Long>>> answered = new TreeMap<>();

    private record Rollback(
            long at, String conductor, int table, Map<String, Double> lines, Set<String> seen) {}

    private static final class Round {
        final long orderedAt;
        long lastApplied;
        double lines;

        Round(long orderedAt) {
            this.orderedAt = orderedAt;
        }
    }

    private record Held(long from, long until, double factor) {}

    final InvariantResult noProxyWithoutNode = new InvariantResult();
    final InvariantResult noEffectTwice = new InvariantResult();
    final InvariantResult drainsKept = new InvariantResult();
    final InvariantResult noColdNodePushedOver = new InvariantResult();
    final InvariantResult shortQueue = new InvariantResult();
    final InvariantResult messages = new InvariantResult();
    final InvariantResult tables = new InvariantResult();
    final InvariantResult rollbacksInTime = new InvariantResult();
    final InvariantResult versionsRise = new InvariantResult();
    final InvariantResult answersKept = new InvariantResult();
    final Histogram rollbacks = new Histogram(3);
    private final List<Rollback> goingBack = new ArrayList<>();
    private final List<Rollback> interrupted = new ArrayList<>();
    final Histogram drains = new Histogram(3);

    /**
     * Every try at a node that an operator drains, by milliseconds since the conductor took it up.
     */
    final Histogram operatorDrains = new Histogram(3);

    private final Scenario scenario;
    private long start;
    private final Map<String, Map<String, Told>> told = new TreeMap<>();

    /** When a conductor took an operator's drain up; it outlives the conductor's process. */
    private final Map<String, Map<String, Long>> drainedByOperator = new TreeMap<>();

    private final Map<String, Proxy> proxies = new TreeMap<>();
    private final Map<Long, Integer> effects = new HashMap<>();
    private final Set<Long> doubled = new HashSet<>();
    private final Map<String, Round> rounds = new TreeMap<>();
    private final Map<String, Long> stoppedAt = new HashMap<>();
    private final List<Held> stalls = new ArrayList<>();
    private final List<Held> slow = new ArrayList<>();

    InvariantChecker(Scenario scenario, long start) {
        this.scenario = scenario;
        this.start = start;
        noProxyWithoutNode.limit = scenario.limits().noEndpointNanos() / MILLI;
        rollbacksInTime.limit = scenario.limits().drainTimeoutNanos() / MILLI;
        drainsKept.limit = scenario.limits().drainTimeoutNanos() / MILLI;
        noEffectTwice.limit = 1;
        noColdNodePushedOver.limit = scenario.site().warmUp().overloadFactor();
        shortQueue.limit = scenario.channel().queueLimit();
        messages.limit = scenario.channel().messageLimit();
    }

    private String at(long time) {
        return String.format("%.2f s", (time - start) / 1e9);
    }

    private static String ago(long at, long time) {
        return time == Long.MIN_VALUE ? "never" : (long) ((at - time) / MILLI) + " ms ago";
    }

    // ---- what the scenario held up ----

    /** The conductor's process is gone: it knows nothing any more. */
    void conductorDown(String conductor) {
        // A restarted conductor goes on with it: its time runs from the first proxy that joins
        // again.
        goingBack.removeIf(back -> back.conductor().equals(conductor) && interrupted.add(back));
        told.remove(conductor);
    }

    void conductorStopped(String conductor, long at) {
        stoppedAt.put(conductor, at);
    }

    /** What came while the process stood still it learns now; times run on from here. */
    void conductorGoesOn(String conductor, long at) {
        Long since = stoppedAt.remove(conductor);
        if (since != null) {
            stalls.add(new Held(since, at, 1));
            told.getOrDefault(conductor, Map.of())
                    .values()
                    .forEach(t -> t.since = t.since > since ? at : t.since);
        }
    }

    /** From now on lines go so many times slower; 1 ends it. */
    void linksSlow(long at, double factor) {
        if (!slow.isEmpty() && slow.get(slow.size() - 1).until() == Long.MAX_VALUE) {
            Held last = slow.remove(slow.size() - 1);
            slow.add(new Held(last.from(), at, last.factor()));
        }
        if (factor > 1) {
            slow.add(new Held(at, Long.MAX_VALUE, factor));
        }
    }

    /**
     * A bound on time grows by the factor of a slow channel and by the time its conductor stood
     * still.
     */
    private double stretched(double bound, long from, long until) {
        double factor = 1;
        for (Held held : slow) {
            // What queued up while the channel was slow still lies in it for as long as the queue's
            // limit
            // allows.
            double after =
                    scenario.channel().queueLimit() / scenario.channel().entriesPerSecond() * 1e9;
            if (held.from() < until
                    && (held.until() == Long.MAX_VALUE || held.until() + after > from)) {
                factor = Math.max(factor, held.factor());
            }
        }
        double stood = 0;
        for (Held held : stalls) {
            stood += Math.max(0, Math.min(until, held.until()) - Math.max(from, held.from()));
        }
        for (long since : stoppedAt.values()) {
            stood += Math.max(0, until - Math.max(from, since));
        }
        return bound * factor + stood;
    }

    /** Moments are told from here on. */
    void dayBegins(long at) {
        start = at;
    }

    /**
     * A conductor has taken up that a node drains; from here on it is as if the list had told it.
     */
    void operatorDrains(long at, String conductor, String node) {
        drainedByOperator.computeIfAbsent(conductor, c -> new TreeMap<>()).putIfAbsent(node, at);
        drainsKept.checked +=
                proxies.values().stream().filter(p -> conductor.equals(p.conductor)).count();
    }

    void operatorUndrains(String conductor, String node) {
        drainedByOperator.getOrDefault(conductor, new TreeMap<>()).remove(node);
    }

    // ---- list and streams ----

    @Override
    public void nodeListServed(long at, String conductor, Map<String, NodeListing> nodes) {
        Map<String, Told> known = told.computeIfAbsent(conductor, c -> new TreeMap<>());
        nodes.forEach(
                (name, listed) -> {
                    Told node = known.computeIfAbsent(name, n -> new Told());
                    if (node.state != listed.state()) {
                        closeDrain(node);
                        if (listed.state() != NodeState.READY) {
                            drainsKept.checked +=
                                    proxies.values().stream()
                                            .filter(p -> conductor.equals(p.conductor))
                                            .count();
                        }
                        node.since = at;
                        node.longest = 0;
                    }
                    if (node.started != listed.startedMillis()) {
                        node.since = listed.state() == NodeState.READY ? at : node.since;
                    }
                    node.state = listed.state();
                    node.started = listed.startedMillis();
                    node.kind = listed.machineType();
                });
        known.forEach(
                (name, node) -> {
                    if (!nodes.containsKey(name) && node.state != NodeState.GONE) {
                        if (node.state == NodeState.READY) {
                            node.since = at;
                            node.longest = 0;
                            drainsKept.checked +=
                                    proxies.values().stream()
                                            .filter(p -> conductor.equals(p.conductor))
                                            .count();
                        }
                        node.state = NodeState.GONE;
                    }
                });
    }

    /**
     * How long the last of a conductor's proxies went on sending there, once it was told and
     * joined.
     */
    private void closeDrain(Told node) {
        if (node.state != NodeState.READY && node.since > 0) {
            drains.recordValue(node.longest / 1_000_000);
        }
    }

    @Override
    public void proxyJoined(long at, String proxy, String conductor, Map<Integer, Long> held) {
        Proxy joined = proxy(proxy);
        joined.highest.clear();
        joined.highest.putAll(held);
        joined.conductor = conductor;
        interrupted.removeIf(
                back ->
                        back.conductor().equals(conductor)
                                && goingBack.add(
                                        new Rollback(
                                                at,
                                                conductor,
                                                back.table(),
                                                back.lines(),
                                                new HashSet<>())));
        joined.joinedAt = at;
        joined.messages.clear();
        joined.firstMessage = Long.MIN_VALUE;
        joined.lastMessage = Long.MIN_VALUE;
        joined.lackSince.clear();
        joined.tables.clear();
        for (SiteDefinition.Method method : scenario.site().methods()) {
            noProxyWithoutNode.checked++;
            if (!joined.pickable.getOrDefault(method.name(), false)) {
                joined.lackSince.put(method.name(), at);
            }
        }
    }

    private Proxy proxy(String name) {
        return proxies.computeIfAbsent(name, n -> new Proxy());
    }

    @Override
    public void proxyLeft(long at, String name) {
        sample(at);
        proxy(name).conductor = null;
        proxy(name).lackSince.clear();
    }

    // ---- no proxy without a node ----

    @Override
    public void availabilityChanged(long at, String name, String method, boolean any) {
        sample(at);
        Proxy proxy = proxy(name);
        proxy.pickable.put(method, any);
        if (any) {
            proxy.lackSince.remove(method);
        } else if (proxy.conductor != null) {
            proxy.lackSince.put(method, at);
        }
    }

    /** Looks at every proxy that lacks a line; called often. */
    void sample(long at) {
        rollbacksDone(at);
        proxies.forEach(
                (name, proxy) ->
                        proxy.lackSince.forEach(
                                (method, since) -> {
                                    if (proxy.conductor == null) {
                                        return;
                                    }
                                    if (!hasOpenWarm(proxy.conductor, method, at)) {
                                        proxy.lackSince.put(method, at);
                                        return;
                                    }
                                    double span = at - since;
                                    String where = name + " for " + method + " at " + at(at);
                                    noProxyWithoutNode.value(span / MILLI, where);
                                    if (span
                                            > stretched(
                                                    scenario.limits().noEndpointNanos(),
                                                    since,
                                                    at)) {
                                        noProxyWithoutNode.broke(
                                                where
                                                        + ": no line to pick for "
                                                        + (long) (span / MILLI)
                                                        + " ms");
                                        proxy.lackSince.put(method, at);
                                    }
                                }));
    }

    private boolean hasOpenWarm(String conductor, String method, long at) {
        SiteDefinition.Method of =
                scenario.site().methods().stream()
                        .filter(m -> m.name().equals(method))
                        .findFirst()
                        .orElseThrow();
        long wall = System.currentTimeMillis();
        long cold = scenario.site().warmUp().durationNanos() / 1_000_000;
        return told.getOrDefault(conductor, Map.of()).values().stream()
                .anyMatch(
                        node ->
                                node.state == NodeState.READY
                                        && wall - node.started > cold
                                        && (of.machineTypes().isEmpty()
                                                || of.machineTypes().contains(node.kind)));
    }

    // ---- no effect twice ----

    @Override
    public void attemptFailed(
            long at, String proxy, String node, long rpc, SiteDefinition.Method method) {
        if (method.effect() != SiteDefinition.Effect.IDEMPOTENT) {
            noEffectTwice.checked++;
        }
    }

    @Override
    public void effectApplied(long at, String node, long rpc, SiteDefinition.Method method) {
        if (method.effect() == SiteDefinition.Effect.IDEMPOTENT) {
            return;
        }
        int count = effects.merge(rpc, 1, Integer::sum);
        noEffectTwice.value(
                count, "rpc " + rpc + " of " + method.name() + " at " + node + ", " + at(at));
        if (count > 1 && doubled.add(rpc)) {
            noEffectTwice.broke(
                    "rpc "
                            + rpc
                            + " of "
                            + method.name()
                            + " took effect again at "
                            + node
                            + ", "
                            + at(at));
        }
    }

    // ---- drains ----

    @Override
    public void attemptStarted(
            long at, String name, String node, long rpc, SiteDefinition.Method method) {
        Proxy proxy = proxy(name);
        if (proxy.conductor == null) {
            return;
        }
        Long word = drainedByOperator.getOrDefault(proxy.conductor, Map.of()).get(node);
        if (word != null) {
            triedWhileDrained(at, name, proxy, node, word);
        }
        Told known = told.getOrDefault(proxy.conductor, Map.of()).get(node);
        if (known == null || known.state == NodeState.READY) {
            return;
        }
        long from = Math.max(known.since, proxy.joinedAt);
        known.longest = Math.max(known.longest, at - from);
        String where = name + " to " + node + " at " + at(at);
        drainsKept.value((at - from) / MILLI, where);
        if (at - from > stretched(scenario.limits().drainTimeoutNanos(), from, at)) {
            drainsKept.broke(
                    where
                            + ": "
                            + (long) ((at - from) / MILLI)
                            + " ms after "
                            + proxy.conductor
                            + " was told that it is "
                            + known.state
                            + "; joined "
                            + ago(at, proxy.joinedAt)
                            + ", told "
                            + ago(at, known.since)
                            + ", first message "
                            + ago(at, proxy.firstMessage)
                            + ", last one "
                            + ago(at, proxy.lastMessage));
        }
    }

    private void triedWhileDrained(long at, String name, Proxy proxy, String node, long word) {
        long from = Math.max(word, proxy.joinedAt);
        String where = name + " to " + node + " at " + at(at);
        drainsKept.value((at - from) / MILLI, where);
        operatorDrains.recordValue((at - from) / 1_000_000);
        if (at - from > stretched(scenario.limits().drainTimeoutNanos(), from, at)) {
            drainsKept.broke(
                    where
                            + ": "
                            + (long) ((at - from) / MILLI)
                            + " ms after "
                            + proxy.conductor
                            + " took an operator's drain up; joined "
                            + ago(at, proxy.joinedAt));
        }
    }

    // ---- cold nodes ----

    @Override
    public void warmingNodeReached(long at, String node) {
        noColdNodePushedOver.checked++;
    }

    /**
     * The rule is broken if two thirds of the work came from proxies whose last message was sent in
     * knowledge of the start, or whose conductor had known of it for the grace.
     */
    @Override
    public void nodeOverloaded(long at, String node, long startedAt, Map<String, Double> work) {
        double informed = 0;
        for (Map.Entry<String, Double> part : work.entrySet()) {
            Proxy proxy = proxy(part.getKey());
            Told known =
                    proxy.conductor == null
                            ? null
                            : told.getOrDefault(proxy.conductor, Map.of()).get(node);
            boolean knows =
                    known != null
                            && known.state == NodeState.READY
                            && known.since >= startedAt
                            && (proxy.lastMessage > known.since
                                    || at - known.since
                                            > stretched(
                                                    scenario.limits().drainTimeoutNanos(),
                                                    known.since,
                                                    at));
            informed += knows ? part.getValue() : 0;
        }
        double all = work.values().stream().mapToDouble(w -> w).sum();
        String where =
                node
                        + " fell over at "
                        + at(at)
                        + ", "
                        + Math.round(100 * informed / all)
                        + "% of the work from informed proxies";
        noColdNodePushedOver.value(informed / all, where);
        if (informed >= INFORMED_SHARE * all) {
            noColdNodePushedOver.broke(where);
        }
    }

    // ---- tables as proxies hold them ----

    /**
     * No rule of the contract, but what no good conductor sends: empty, unknown nodes, weights out
     * of all measure.
     */
    @Override
    public void tableChanged(long at, String name, String conductor, TableSnapshot held) {
        Map<String, Double> lines = held.weights();
        proxy(name).tables.put(held.table(), lines);
        answered.computeIfAbsent(conductor, c -> new TreeMap<>())
                .computeIfAbsent(held.table(), t -> new TreeMap<>())
                .putIfAbsent(held.version(), held.digest());
        versionsRise.checked++;
        Long before = proxy(name).highest.put(held.table(), held.version());
        if (before != null && held.version() < before) {
            versionsRise.broke(
                    name
                            + " at "
                            + at(at)
                            + ": table "
                            + held.table()
                            + " goes from version "
                            + before
                            + " to "
                            + held.version());
        }
        rollbacksDone(at);
        tables.checked++;
        Map<String, Told> known = told.getOrDefault(conductor, Map.of());
        double mean = lines.values().stream().mapToDouble(w -> w).average().orElse(0);
        String fault = lines.isEmpty() ? "no line" : "";
        for (Map.Entry<String, Double> line : lines.entrySet()) {
            double weight = line.getValue();
            if (!Double.isFinite(weight) || weight < 0 || weight > OUT_OF_MEASURE * mean) {
                fault = "weight " + weight + " of " + line.getKey();
            } else if (!known.isEmpty() && !known.containsKey(line.getKey())) {
                fault = "a node that was never listed, " + line.getKey();
            }
        }
        if (!fault.isEmpty()) {
            tables.value(1, name + " at " + at(at));
            tables.broke(name + " at " + at(at) + ": " + fault);
        }
    }

    /**
     * An operator's rollback was accepted; these are the lines that the conductor goes back to. A
     * later one of the same table takes the place of an earlier one.
     */
    void rollback(long at, String conductor, int table, Map<String, Double> lines) {
        goingBack.removeIf(back -> back.conductor().equals(conductor) && back.table() == table);
        rollbacksInTime.checked++;
        goingBack.add(new Rollback(at, conductor, table, lines, new HashSet<>()));
        rollbacksDone(at);
    }

    /**
     * Done when every proxy that follows the table has held its lines; nodes that left since may be
     * missing.
     */
    private void rollbacksDone(long at) {
        goingBack.removeIf(
                back -> {
                    boolean done = true;
                    for (Map.Entry<String, Proxy> entry : proxies.entrySet()) {
                        Proxy proxy = entry.getValue();
                        Map<String, Double> held = proxy.tables.get(back.table());
                        if (back.conductor().equals(proxy.conductor) && held != null) {
                            if (held.entrySet().stream()
                                    .allMatch(
                                            l ->
                                                    l.getValue()
                                                            .equals(
                                                                    back.lines()
                                                                            .get(l.getKey())))) {
                                back.seen().add(entry.getKey());
                            }
                            done &= back.seen().contains(entry.getKey());
                        }
                    }
                    double span = at - back.at();
                    String where =
                            "table " + back.table() + " of " + back.conductor() + " at " + at(at);
                    boolean late =
                            span > stretched(scenario.limits().drainTimeoutNanos(), back.at(), at);
                    if (done || late) {
                        rollbacks.recordValue((long) (span / MILLI));
                        rollbacksInTime.value(span / MILLI, where);
                    }
                    if (late) {
                        rollbacksInTime.broke(
                                where
                                        + ": not at all proxies after "
                                        + (long) (span / MILLI)
                                        + " ms");
                    }
                    return done || late;
                });
    }

    /** What proxies of a conductor have answered for by now. */
    Map<Integer, TreeMap<Long, Long>> answered(String conductor) {
        Map<Integer, TreeMap<Long, Long>> all = new TreeMap<>();
        answered.getOrDefault(conductor, Map.of())
                .forEach((table, versions) -> all.put(table, new TreeMap<>(versions)));
        return all;
    }

    /**
     * A conductor that ended and started again tells its versions; what was answered for before
     * must be among them with the same digest, unless it is older than the oldest that is kept.
     */
    void restored(
            long at,
            String conductor,
            Map<Integer, TreeMap<Long, Long>> before,
            Map<Integer, TreeMap<Long, Long>> after) {
        before.forEach(
                (table, versions) -> {
                    TreeMap<Long, Long> kept = after.getOrDefault(table, new TreeMap<>());
                    versions.forEach(
                            (version, digest) -> {
                                answersKept.checked++;
                                boolean old = !kept.isEmpty() && version < kept.firstKey();
                                if (!old && !digest.equals(kept.get(version))) {
                                    answersKept.broke(
                                            conductor
                                                    + " at "
                                                    + at(at)
                                                    + ": version "
                                                    + version
                                                    + " of table "
                                                    + table
                                                    + (kept.containsKey(version)
                                                            ? " has other lines"
                                                            : " is forgotten"));
                                }
                            });
                });
    }

    // ---- queue and messages ----

    @Override
    public void messageArrived(
            long at, String name, String conductor, Frame.Mark mark, double held) {
        Proxy proxy = proxy(name);
        proxy.lastMessage = at - mark.queuedMicros() * 1000;
        proxy.firstMessage = proxy.firstMessage == Long.MIN_VALUE ? at : proxy.firstMessage;
        shortQueue.checked++;
        double waiting = mark.waiting() + held;
        String where = conductor + " at " + at(at);
        shortQueue.value(waiting, where);
        if (waiting > scenario.channel().queueLimit()) {
            shortQueue.broke(where + ": " + (long) waiting + " lines waiting");
        }
        proxy.messages.addLast(at);
        while (at - proxy.messages.peekFirst() > scenario.channel().messageWindowNanos()) {
            proxy.messages.removeFirst();
        }
        messages.checked++;
        messages.value(proxy.messages.size(), name + " at " + at(at));
        if (scenario.channel().messageLimit() > 0
                && proxy.messages.size() > scenario.channel().messageLimit()) {
            messages.broke(proxy.messages.size() + " messages to " + name + " by " + at(at));
        }
        rounds.computeIfAbsent(
                                conductor + "/" + mark.round(),
                                key -> new Round(at - mark.queuedMicros() * 1000))
                        .lines +=
                mark.lines();
    }

    @Override
    public void messageApplied(long at, String proxy, String conductor, Frame.Mark mark) {
        Round round = rounds.get(conductor + "/" + mark.round());
        if (round != null) {
            round.lastApplied = at;
        }
    }

    /**
     * Milliseconds from a change's commit to the last proxy that took it up; drains still open are
     * closed.
     */
    Histogram changes() {
        Histogram took = new Histogram(3);
        rounds.values().stream()
                .filter(r -> r.lastApplied > 0)
                .forEach(
                        r ->
                                took.recordValue(
                                        Math.max(0, r.lastApplied - r.orderedAt) / 1_000_000));
        return took;
    }

    /** What the paced channel itself needs for the lines of each change, in milliseconds. */
    Histogram paced() {
        Histogram needs = new Histogram(3);
        rounds.values()
                .forEach(
                        r ->
                                needs.recordValue(
                                        (long)
                                                (r.lines
                                                        / scenario.channel().entriesPerSecond()
                                                        * 1000)));
        return needs;
    }

    void end(long at) {
        sample(at);
        told.values().forEach(nodes -> nodes.values().forEach(this::closeDrain));
    }
}
