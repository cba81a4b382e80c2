package rosespread.controller;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.EventHandler;
import rosespread.api.EventSource;
import rosespread.api.MachineTypeId;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.TableId;
import rosespread.api.ZoneId;
import rosespread.channel.Frame;
import rosespread.channel.FrameWriter;
import rosespread.discovery.ListedNode;
import rosespread.drain.Drain;
import rosespread.drain.DrainGuard;
import rosespread.drain.DrainRegistry;
import rosespread.eventloop.RoundScheduler;
import rosespread.settings.FleetSettings;
import rosespread.validation.DurabilityTimeout;
import rosespread.validation.TableChangeValidator;

/**
 * The conductor without its threads and sockets: tells the module what happened and carries out its
 * orders. All of it runs on one thread; the caller brings events and the time, so that a test can
 * drive it by a clock of its own. It decides nothing: what was ordered leaves as it was ordered.
 */
public final class ControllerState {
    /** What the core asks of the world outside. */
    public interface Environment {
        Policy newPolicy(FleetSettings settings, long seed);

        /** HealthChecks; {@link ControllerState#healthChecked} is called later. */
        void checkHealth(ListedNode node);

        void watchNodes();
    }

    private static final Logger LOG = LoggerFactory.getLogger(ControllerState.class);
    private static final long JOIN_WITHIN = 5_000_000_000L;

    /** Keep-alives missed in a row that break a stream. */
    private static final int KEEP_ALIVES_MISSED = 4;

    /** A change of the list, or much unanswered, is a cause for large moves for so long. */
    private static final long CAUSE_LASTS = 10_000_000_000L;

    private static final double MUCH_UNANSWERED = 0.3;
    private static final int LEAST_TRIES = 5;
    private static final int PROXIES_MOST = 1 << 16;
    private static final long UNWRITTEN_MOST = 4L << 20;

    private final Environment world;
    private final TableChangeValidator gate;
    private final TableRegistry book;
    private final TableViews views;
    private final LongSupplier wallMillis;
    private final Set<ProxySession> links = new LinkedHashSet<>();
    private final TreeMap<ProxyId, ProxySession> joined = new TreeMap<>();
    private final TreeMap<String, ProxyId> byName = new TreeMap<>();
    private final TreeMap<NodeId, ListedNode> nodes = new TreeMap<>();

    /** What the list told last, and that with the drains of operators. */
    private final TreeMap<NodeId, ListedNode> told = new TreeMap<>();

    private final TreeMap<NodeId, ListedNode> listed = new TreeMap<>();
    private final TreeMap<NodeId, Long> triedAt = new TreeMap<>();
    private final TreeMap<NodeId, Start> starts = new TreeMap<>();
    private final TreeMap<String, Integer> zones = new TreeMap<>();
    private final TreeMap<String, Integer> kinds = new TreeMap<>();
    private final RoundScheduler rounds = new RoundScheduler();
    private final RoundScheduler.RoundHandler player = new Playing();
    private LoadReportAggregator sums = new LoadReportAggregator();
    private FleetSettings settings;
    private Policy planner;
    private TableUpdateWriter runDue;
    private PacedChannel channel;
    private long number;
    private long now;
    private long sumsAt;
    private boolean listKnown;
    private long factsVersion;
    private long warmAt = Long.MAX_VALUE;
    private long lastCause = Long.MIN_VALUE / 2;
    private final Counts counts = new Counts();

    private record Start(long millis, long nanos) {}

    /** What happened since the start, for the state page. */
    static final class Counts {
        long joins;
        long strayAnswers;
        long unknownNodes;
        long silent;
        long missed;
        long slow;
        long lists;
        long listFailures;
        String listTrouble = "";
        String mode = "";
    }

    /**
     * @param book what was committed so far; restored before the first settings
     */
    public ControllerState(
            Environment world,
            TableChangeValidator gate,
            TableRegistry book,
            LongSupplier wallMillis) {
        this.book = book;
        this.views = new TableViews(book, nodes);
        this.world = world;
        this.gate = gate;
        this.wallMillis = wallMillis;
        // Numbers of messages rise over restarts too, so that no answer fits a message of an
        // earlier process.
        this.number = wallMillis.getAsLong() << 20;
    }

    // ---- settings ----

    /**
     * Takes settings as a whole. Numbers of methods, zones and tables may mean something else from
     * here on, so all streams are closed and a fresh module begins, as after a restart; proxies
     * keep their tables and rejoin.
     */
    public void apply(long time, FleetSettings next) {
        now = time;
        settings = next;
        zones.clear();
        kinds.clear();
        next.zones().forEach(zone -> zones.put(zone, zones.size()));
        next.machineTypes().forEach(kind -> kinds.put(kind, kinds.size()));
        book.layout(layout(next));
        begin("settings were applied");
    }

    /** What tables are laid out by: the places, and where methods may go. */
    private static long layout(FleetSettings settings) {
        StringBuilder text = new StringBuilder().append(settings.zones()).append(settings.machineTypes());
        settings.methods()
                .forEach(
                        m ->
                                text.append('|')
                                        .append(m.name())
                                        .append(m.allowedMachineTypes())
                                        .append(m.allowedZones())
                                        .append(m.localZoneOnly()));
        return Hashing.xxh3_64().hashBytesToLong(text.toString().getBytes(StandardCharsets.UTF_8));
    }

    private void begin(String why) {
        for (ProxySession link : List.copyOf(links)) {
            close(link, Frame.Reason.STOPPING, why);
        }
        rounds.restart();
        sums = new LoadReportAggregator();
        channel =
                new PacedChannel(
                        settings.channel().entriesPerSecond(),
                        book.log(),
                        new DurabilityTimeout(settings.drainTimeoutNanos()));
        number = runDue == null ? number : runDue.number();
        lastCause = now;
        book.moduleBegins();
        factsChange();
        runDue =
                new TableUpdateWriter(
                        joined, nodes, channel, settings, gate, book, number, new Acts());
        planner = world.newPolicy(settings, settings.seed());
        sumsAt = now + settings.reportPeriodNanos();
        if (listKnown) {
            tellList(EventHandler.NodeListKind.CACHED);
        }
    }

    // ---- streams ----

    public ProxySession opened(long time, ProxySession.Transport wire) {
        now = time;
        ProxySession link = new ProxySession(wire, now);
        links.add(link);
        return link;
    }

    public void frame(long time, ProxySession link, Frame frame) {
        now = time;
        if (link.closed) {
            return;
        }
        link.heardAt = now;
        if (frame instanceof Frame.KeepAlive alive) {
            if (!alive.answer()) {
                link.wire.write(FrameWriter.bytes(new Frame.KeepAlive(alive.number(), true)));
            }
        } else if (frame instanceof Frame.Close) {
            closed(now, link);
        } else if (!link.greeted) {
            greet(link, frame);
        } else if (!link.joined()) {
            join(link, frame);
        } else if (frame instanceof Frame.Installed installed) {
            installed(link, installed.number());
        } else if (frame instanceof Frame.Sums met) {
            link.reportedAt = now;
            sums.take(link.proxy, link.zone, known(met));
        } else if (frame instanceof Frame.Missed missed) {
            counts.missed++;
            if (link.bound.containsKey(missed.table())) {
                link.owes.add(missed.table());
            }
        } else if (frame instanceof Frame.Offered offered) {
            offered(link, offered);
        } else {
            close(
                    link,
                    Frame.Reason.BAD_FRAME,
                    frame.getClass().getSimpleName() + " is not a proxy's to send");
        }
    }

    private void greet(ProxySession link, Frame frame) {
        if (!(frame instanceof Frame.Hello hello)) {
            close(link, Frame.Reason.BAD_FRAME, "the first frame must be Hello");
        } else if (hello.version() != Frame.VERSION) {
            close(
                    link,
                    Frame.Reason.BAD_VERSION,
                    "version " + hello.version() + "; this conductor speaks " + Frame.VERSION);
        } else if (settings == null) {
            close(link, Frame.Reason.NO_SETTINGS, "the conductor waits for its settings");
        } else {
            link.greeted = true;
            link.wire.write(
                    FrameWriter.bytes(
                            new Frame.Hello(Frame.VERSION, "conductor", settings.methodNames())));
        }
    }

    private void join(ProxySession link, Frame frame) {
        if (!(frame instanceof Frame.Join join)) {
            close(link, Frame.Reason.BAD_FRAME, "the second frame must be Join");
            return;
        }
        if (!settings.zones().contains(join.zone())) {
            close(
                    link,
                    Frame.Reason.BAD_JOIN,
                    "zone \""
                            + join.zone()
                            + "\"; known are "
                            + String.join(", ", settings.zones()));
            return;
        }
        ProxyId before = byName.get(join.proxy());
        if (before != null) {
            close(
                    joined.get(before),
                    Frame.Reason.REPLACED,
                    "a newer stream of proxy " + join.proxy());
        }
        int free = 0;
        while (joined.containsKey(new ProxyId(free))) {
            free++;
        }
        if (free >= PROXIES_MOST) {
            close(link, Frame.Reason.FULL, PROXIES_MOST + " proxies are joined");
            return;
        }
        ProxyId id = before == null ? new ProxyId(free) : before;
        link.proxy = id;
        link.name = join.proxy();
        link.unpacks = join.unpacks();
        link.zone = new ZoneId(zones.get(join.zone()));
        joined.put(id, link);
        byName.put(link.name, id);
        counts.joins++;
        LOG.atInfo()
                .addKeyValue("proxy", link.name)
                .addKeyValue("zone", join.zone())
                .addKeyValue("from", link.wire.remote())
                .log("proxy joined");
        long wall = wallMillis.getAsLong();
        join.held().forEach(held -> book.met(held.table(), held.version(), wall));
        rounds.add(observer -> observer.proxyJoined(id, link.zone, join.rate()));
    }

    /**
     * An answer to a mark that was not written on this stream is nobody's: it may be of an earlier
     * one.
     */
    private void installed(ProxySession link, long answered) {
        ProxySession.Marked found =
                link.marks.stream().filter(m -> m.number() == answered).findFirst().orElse(null);
        if (found == null) {
            counts.strayAnswers++;
            return;
        }
        while (link.marks.peekFirst() != found) {
            link.marks.removeFirst();
        }
        link.marks.removeFirst();
        long took = now - found.orderedAt();
        if (found.mark() >= 0) {
            rounds.add(observer -> observer.acknowledged(link.proxy, found.mark(), took));
        }
    }

    private Frame.Sums known(Frame.Sums met) {
        met.sums().stream()
                .filter(sum -> sum.tries() > 0 && nodes.containsKey(sum.node()))
                .forEach(sum -> triedAt.put(sum.node(), now));
        List<Frame.Sum> known =
                met.sums().stream().filter(sum -> nodes.containsKey(sum.node())).toList();
        counts.unknownNodes += met.sums().size() - known.size();
        if (known.stream()
                .anyMatch(
                        sum ->
                                sum.tries() >= LEAST_TRIES
                                        && sum.unanswered() > MUCH_UNANSWERED * sum.tries())) {
            lastCause = now;
        }
        return known.size() == met.sums().size() ? met : new Frame.Sums(met.coversMicros(), known);
    }

    private void offered(ProxySession link, Frame.Offered offered) {
        for (Frame.Count count : offered.counts()) {
            if (count.method().value() >= settings.methods().size()) {
                close(
                        link,
                        Frame.Reason.BAD_FRAME,
                        "method " + count.method().value() + " of " + settings.methods().size());
                return;
            }
            rounds.add(
                    observer ->
                            observer.demandReported(
                                    link.proxy,
                                    count.method(),
                                    count.came(),
                                    offered.coversMicros() * 1000));
        }
    }

    /** The stream broke, a moment or a while ago. */
    public void closed(long time, ProxySession link) {
        now = time;
        if (!link.closed) {
            close(link, null, "the stream closed");
        }
    }

    /** The stream brought what is not the protocol. */
    public void garbled(long time, ProxySession link, Frame.Reason reason, String text) {
        now = time;
        close(link, reason, text);
    }

    private void close(ProxySession link, Frame.Reason reason, String text) {
        if (link.closed) {
            return;
        }
        link.closed = true;
        links.remove(link);
        if (link.joined() && joined.get(link.proxy) == link) {
            joined.remove(link.proxy);
            byName.remove(link.name);
            ProxyId id = link.proxy;
            rounds.add(observer -> observer.proxyLeft(id));
        }
        if (channel != null) {
            channel.drop(link);
        }
        LOG.atInfo()
                .addKeyValue("proxy", link.name)
                .addKeyValue("from", link.wire.remote())
                .addKeyValue("reason", reason)
                .log("stream closed: " + text);
        link.wire.close(reason == null ? Frame.Reason.STOPPING : reason, text);
    }

    // ---- list and probes ----

    /** The list told of all nodes. */
    public void list(long time, List<ListedNode> all) {
        now = time;
        listKnown = true;
        counts.lists++;
        counts.listTrouble = "";
        Set<NodeId> before = Set.copyOf(told.keySet());
        told.clear();
        all.forEach(node -> told.put(node.id(), node));
        endDrainsOfGone(before);
        relist();
    }

    /**
     * A node that the list no longer tells of needs no drain any more; one that comes back is a
     * fresh one.
     */
    private void endDrainsOfGone(Set<NodeId> before) {
        for (Drain word : List.copyOf(book.drains().allLatest())) {
            // Only one that was listed here: this list may be behind the one by which the word was
            // given.
            if (word.on() && before.contains(word.node()) && !told.containsKey(word.node())) {
                long stamp = book.drains().nextStamp();
                book.take(
                        new Drain(
                                word.node(),
                                word.name(),
                                false,
                                stamp,
                                "list",
                                "gone-" + stamp,
                                wallMillis.getAsLong()));
                LOG.info(
                        "the drain of {} by {} ends: the list no longer tells of it",
                        word.name(),
                        word.by());
            }
        }
    }

    /**
     * Works out what the module is told: the list, with nodes that operators drain as the list
     * would say.
     */
    private void relist() {
        Map<NodeId, ListedNode> next = new TreeMap<>();
        told.forEach((id, node) -> next.put(id, book.drains().drains(id) ? node.draining() : node));
        next.values()
                .forEach(node -> lastCause = same(listed.get(node.id()), node) ? lastCause : now);
        lastCause = next.size() == listed.size() ? lastCause : now;
        listed.clear();
        listed.putAll(next);
        nodes.putAll(listed);
        if (runDue != null) {
            nodes.keySet()
                    .removeIf(
                            id ->
                                    !listed.containsKey(id)
                                            && !runDue.withdrawn().contains(id)
                                            && !runDue.names(id));
            starts.keySet().retainAll(nodes.keySet());
            triedAt.keySet().retainAll(nodes.keySet());
            factsChange();
            tellList(EventHandler.NodeListKind.FULL);
        }
    }

    /** Facts hold until the list tells of others or the next cold node is warm. */
    private void factsChange() {
        factsVersion++;
        warmAt = Long.MAX_VALUE;
        for (ListedNode node : nodes.values()) {
            long up = started(node);
            if (up != Long.MIN_VALUE && up + settings.warmUp().durationNanos() > now) {
                warmAt = Math.min(warmAt, up + settings.warmUp().durationNanos());
            }
        }
    }

    private static boolean same(ListedNode before, ListedNode after) {
        return before != null
                && before.state() == after.state()
                && before.startedMillis() == after.startedMillis();
    }

    private void tellList(EventHandler.NodeListKind kind) {
        List<ListedNode> told = List.copyOf(listed.values());
        Map<NodeId, Long> up = new TreeMap<>();
        told.forEach(node -> up.put(node.id(), started(node)));
        rounds.add(
                observer -> {
                    observer.listStarted(kind);
                    for (ListedNode node : told) {
                        observer.nodeListed(
                                node.id(),
                                new MachineTypeId(place(kinds, node.machineType())),
                                new ZoneId(place(zones, node.zone())),
                                node.weight(),
                                node.state(),
                                up.get(node.id()));
                    }
                    observer.listCompleted();
                });
    }

    /**
     * Worked out once for each start that the list names: wall clock and monotone clock drift, and
     * a start that seems to move would be taken for another one.
     */
    private long started(ListedNode node) {
        if (node.startedMillis() == 0) {
            return Long.MIN_VALUE;
        }
        Start known = starts.get(node.id());
        if (known == null || known.millis() != node.startedMillis()) {
            long age = Math.max(0, wallMillis.getAsLong() - node.startedMillis());
            known = new Start(node.startedMillis(), now - age * 1_000_000L);
            starts.put(node.id(), known);
        }
        return known.nanos();
    }

    private static int place(Map<String, Integer> places, String name) {
        places.putIfAbsent(name, places.size());
        return places.get(name);
    }

    public void listUnavailable(long time, String why) {
        now = time;
        counts.listFailures++;
        if (counts.listTrouble.isEmpty()) {
            LOG.atWarn()
                    .addKeyValue("nodes", listed.size())
                    .log("list unavailable, the last one stays: " + why);
        }
        counts.listTrouble = why;
        rounds.add(
                observer -> {
                    observer.listStarted(EventHandler.NodeListKind.UNAVAILABLE);
                    observer.listCompleted();
                });
    }

    public void healthChecked(long time, NodeId node, EventHandler.HealthCheckResult verdict) {
        now = time;
        rounds.add(observer -> observer.healthChecked(node, verdict));
    }

    // ---- the round ----

    /** Does what is due; returns the time of the next thing due. */
    public long runDue(long time) {
        now = time;
        if (settings == null) {
            return Long.MAX_VALUE;
        }
        if (now >= sumsAt) {
            sumsAt = now + settings.reportPeriodNanos();
            LoadReportAggregator gathered = sums;
            sums = new LoadReportAggregator();
            rounds.add(gathered::handTo);
        }
        long next = Math.min(sumsAt, rounds.runDue(now, player));
        if (book.log().wantsSnapshot()) {
            book.log().writeSnapshot(book.image());
        }
        next = Math.min(next, channel.pump(now));
        return Math.min(next, keepAlive());
    }

    /** A module that throws has lost its place: a fresh one begins, as after a restart. */
    private final class Playing implements RoundScheduler.RoundHandler {
        @Override
        public void runRound(EventSource feed) {
            planner.round(now, feed, runDue);
            runDue.close(now, wallMillis.getAsLong());
        }

        @Override
        public void roundFailed(Throwable fault) {
            LOG.error("the decision module failed and begins anew", fault);
            begin("the decision module begins anew");
        }
    }

    private long keepAlive() {
        long every = settings.channel().keepAliveNanos();
        long next = Long.MAX_VALUE;
        for (ProxySession link : List.copyOf(links)) {
            if (now - link.heardAt > KEEP_ALIVES_MISSED * every && link.joined()) {
                counts.silent++;
                close(
                        link,
                        Frame.Reason.SILENT,
                        "nothing heard for " + (now - link.heardAt) / 1_000_000 + " ms");
            } else if (!link.joined() && now - link.openedAt > JOIN_WITHIN) {
                close(link, Frame.Reason.SILENT, "not joined in time");
            } else if (link.wire.unwritten() > UNWRITTEN_MOST) {
                counts.slow++;
                close(link, Frame.Reason.SLOW, link.wire.unwritten() + " bytes were not read");
            } else if (link.joined() && now - link.keptAt >= every) {
                link.keptAt = now;
                link.wire.write(FrameWriter.bytes(new Frame.KeepAlive(now, false)));
            }
            next =
                    Math.min(
                            next,
                            link.joined() ? link.keptAt + every : link.openedAt + JOIN_WITHIN);
        }
        return next;
    }

    /** Tells all proxies that the conductor stops. */
    public void stop(long time) {
        now = time;
        for (ProxySession link : List.copyOf(links)) {
            close(link, Frame.Reason.STOPPING, "the conductor stops");
        }
    }

    /** What there is to see, as it is now. */
    public ControllerStatus state() {
        return ControllerStatus.of(
                settings,
                joined.values(),
                listed.values(),
                views.all(),
                book.drains(),
                triedAt,
                runDue == null ? List.<NodeId>of() : runDue.withdrawn(),
                channel,
                counts,
                rounds,
                storage(),
                now);
    }

    private ControllerStatus.Storage storage() {
        DurabilityTimeout patience = channel == null ? null : channel.patience();
        return new ControllerStatus.Storage(
                book.log().fault(),
                patience != null && patience.late(),
                Math.max(0, book.last() - book.log().durable()),
                patience == null ? 0 : patience.sentBeforeDurable(),
                book.log().bytes());
    }

    // ---- drains ----

    /**
     * Takes an operator's call on a node up: once for each id, against the revision that it names,
     * and not if the guard is against it.
     */
    public DrainResult drain(long time, DrainRequest call) {
        now = time;
        DrainRegistry drains = book.drains();
        if (drains.findByRequestId(call.id()).isPresent()) {
            return DrainResult.done(drains.revision(), true);
        }
        List<Drain> since = call.revision() < 0 ? List.of() : drains.changesSince(call.revision());
        if (!since.isEmpty()) {
            return new DrainResult(
                    DrainResult.Kind.STALE,
                    drains.revision(),
                    since.stream()
                            .map(
                                    word ->
                                            word.name()
                                                    + (word.on()
                                                            ? " was drained by "
                                                            : " was undrained by ")
                                                    + word.by()
                                                    + " (revision "
                                                    + word.stamp()
                                                    + ")")
                            .toList());
        }
        List<ListedNode> named = told.values().stream().filter(node -> call.names(node)).toList();
        if (named.size() != 1) {
            return named.isEmpty()
                    ? new DrainResult(
                            DrainResult.Kind.NO_NODE,
                            drains.revision(),
                            List.of("no node " + call.node() + " among " + told.size() + " listed"))
                    : new DrainResult(
                            DrainResult.Kind.AMBIGUOUS,
                            drains.revision(),
                            named.stream()
                                    .map(
                                            node ->
                                                    node.name()
                                                            + "@"
                                                            + node.host()
                                                            + ":"
                                                            + node.port())
                                    .toList());
        }
        ListedNode node = named.get(0);
        List<String> against =
                call.on() && !call.force() && settings != null
                        ? new DrainGuard(settings.minCapacityRatioWhileDraining())
                                .violations(
                                        node.name(),
                                        listed.values().stream()
                                                .map(
                                                        n ->
                                                                new DrainGuard.Node(
                                                                        n.name(),
                                                                        n.zone(),
                                                                        n.machineType(),
                                                                        n.weight(),
                                                                        n.state()
                                                                                == EventHandler
                                                                                        .NodeState
                                                                                        .READY))
                                                .toList(),
                                        settings.methods().stream()
                                                .map(
                                                        m ->
                                                                new DrainGuard.Method(
                                                                        m.name(),
                                                                        Set.copyOf(m.allowedMachineTypes()),
                                                                        Set.copyOf(m.allowedZones())))
                                                .toList())
                        : List.of();
        if (!against.isEmpty()) {
            return new DrainResult(DrainResult.Kind.GUARDED, drains.revision(), against);
        }
        book.take(
                new Drain(
                        node.id(),
                        node.name(),
                        call.on(),
                        drains.nextStamp(),
                        call.by(),
                        call.id(),
                        wallMillis.getAsLong()));
        LOG.atInfo()
                .addKeyValue("node", node.name())
                .addKeyValue("by", call.by())
                .log((call.on() ? "drain of " : "end of the drain of ") + node.name());
        relist();
        return DrainResult.done(drains.revision(), false);
    }

    /** Takes words up that other conductors have; tells how many change anything. */
    public int hear(long time, List<Drain> words) {
        now = time;
        int changes = 0;
        for (Drain word : words) {
            if (word.supersedes(book.drains().latest(word.node()).orElse(null)) && book.take(word)) {
                changes++;
                LOG.atInfo()
                        .addKeyValue("node", word.name())
                        .addKeyValue("by", word.by())
                        .log(
                                "heard of the "
                                        + (word.on() ? "drain of " : "end of the drain of ")
                                        + word.name());
            }
        }
        if (changes > 0 && listKnown) {
            relist();
        }
        return changes;
    }

    /** Operators' last words on nodes. */
    public List<Drain> drains() {
        return List.copyOf(book.drains().allLatest());
    }

    // ---- acts of operators on tables ----

    /** See {@link TableUpdateWriter#rollback}. */
    public String rollback(long time, TableId table, long version) {
        now = time;
        return runDue == null
                ? "no settings yet"
                : runDue.rollback(table, version, now, wallMillis.getAsLong());
    }

    /**
     * Lets a table that is held follow the module again, step by step. Returns why not, or nothing.
     */
    public String release(long time, TableId table) {
        now = time;
        return runDue == null ? "no settings yet" : runDue.release(table);
    }

    /** A table with what it still has to send. */
    public Optional<ControllerStatus.Table> table(TableId table) {
        return views.one(table);
    }

    /** What changes from one kept version of a table to another. */
    public Optional<ControllerStatus.Difference> difference(TableId table, long from, long to) {
        return views.difference(table, from, to);
    }

    /** Holds a table at what is out now. Returns why not, or nothing. */
    public String pin(long time, TableId table) {
        now = time;
        return runDue == null ? "no settings yet" : runDue.pin(table);
    }

    private final class Acts implements TableUpdateWriter.Effects {
        @Override
        public TableChangeValidator.ValidationContext scene(
                Set<MethodId> methods, Set<ZoneId> homes, double carried) {
            Map<NodeId, TableChangeValidator.NodeFact> facts =
                    new NodeFactsView(
                            nodes,
                            node -> {
                                ListedNode is = listed.get(node.id());
                                return new TableChangeValidator.NodeFact(
                                        is == null ? EventHandler.NodeState.GONE : is.state(),
                                        warmth(node),
                                        open(node, methods, homes));
                            });
            return new TableChangeValidator.ValidationContext(
                    facts, factsVersion(), now - lastCause < CAUSE_LASTS, carried);
        }

        @Override
        public long factsVersion() {
            if (now >= warmAt) {
                factsChange();
            }
            return factsVersion;
        }

        @Override
        public boolean listKnown() {
            return listKnown;
        }

        @Override
        public ZoneId zone(ListedNode node) {
            return new ZoneId(place(zones, node.zone()));
        }

        private double warmth(ListedNode node) {
            long up = started(node);
            long time = settings.warmUp().durationNanos();
            return up == Long.MIN_VALUE || now - up >= time
                    ? 1
                    : settings.warmUp().coldCapacityRatio()
                            + (1 - settings.warmUp().coldCapacityRatio()) * Math.max(0, now - up) / time;
        }

        /**
         * Whether any of the table's methods may go there; a table of one zone stays in its zone.
         */
        private boolean open(ListedNode node, Set<MethodId> methods, Set<ZoneId> homes) {
            ZoneId zone = new ZoneId(place(zones, node.zone()));
            return methods.isEmpty()
                    || methods.stream()
                            .map(m -> settings.methods().get(m.value()))
                            .anyMatch(
                                    m ->
                                            (m.allowedMachineTypes().isEmpty()
                                                            || m.allowedMachineTypes().contains(node.machineType()))
                                                    && (m.allowedZones().isEmpty()
                                                            || m.allowedZones().contains(node.zone()))
                                                    && (!m.localZoneOnly() || homes.contains(zone)));
        }

        @Override
        public void probe(NodeId node) {
            ListedNode listing = nodes.get(node);
            if (listing != null) {
                world.checkHealth(listing);
            }
        }

        @Override
        public void followList() {
            world.watchNodes();
        }

        @Override
        public void wakeAfter(long nanos) {
            rounds.scheduleAt(now + nanos);
        }

        @Override
        public void log(String line) {
            counts.mode = line;
            LOG.atInfo().addKeyValue("mode", true).log(line);
        }
    }
}
