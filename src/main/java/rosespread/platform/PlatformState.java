package rosespread.platform;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.api.EventHandler;
import rosespread.api.EventSource;
import rosespread.api.NodeId;
import rosespread.api.ProxyId;
import rosespread.api.ZoneId;
import rosespread.eventloop.RoundScheduler;
import rosespread.policy.RoutingPolicy;

/**
 * The conductor's state on the decision thread: who is joined by which stream, what is listed, and
 * the module. Everything here is called from that thread only.
 */
final class PlatformState {
    /** What it needs of the outside. */
    interface HealthCheckSender {
        void checkHealth(NodeId node, NodeEntry target);

        /** What one second showed at the sockets and of the process. */
        String seen();
    }

    private static final Logger LOG = LoggerFactory.getLogger(PlatformState.class);
    private static final long SECOND = 1_000_000_000L;

    /** A stream that leaves so much unread is of no use, and what waits for it must not grow. */
    private static final long UNWRITTEN_MOST = 512L << 10;

    private static final int MARKS_MOST = 1024;
    private static final int TICKETS = 1 << 16;

    private final PlatformConfig config;
    private final HealthCheckSender world;
    private final PlatformMetrics counts;
    private final long wallOffset;
    private final RoundScheduler rounds = new RoundScheduler();
    private final RoundScheduler.RoundHandler player = new Playing();
    private final NodeNameRegistry nodes = new NodeNameRegistry();
    private final UpdateEncoder writer;
    private final Map<NodeId, NodeEntry> listed = new TreeMap<>();
    private final TreeSet<NodeId> restless = new TreeSet<>();
    private final Map<ProxyId, Stream> streams = new TreeMap<>();
    private final Map<ZoneId, Long> reports = new TreeMap<>();
    private RoutingPolicy brain;
    private PlatformUpdateWriter orders;
    private int begun;
    private int ticket;
    private long now;
    private long seenAt;
    private long messages;
    private long bytes;
    private long strayAnswers;
    private final LoadReportStatistics heard = new LoadReportStatistics();

    private static final class Stream {
        final ProxyConnection wire;
        final Message.ProxyJoin join;
        final Map<Integer, Mark> marks = new LinkedHashMap<>();

        Stream(ProxyConnection wire, Message.ProxyJoin join) {
            this.wire = wire;
            this.join = join;
        }
    }

    /** A mark of the module that a ticket stands for, and when it was written. */
    private record Mark(int mark, long at) {}

    /**
     * @param wallOffset what is added to nanoseconds of the wall clock to have the module's time;
     *     fixed, so that a start always comes out the same
     */
    PlatformState(
            PlatformConfig config,
            HealthCheckSender world,
            PlatformMetrics counts,
            long wallOffset) {
        this.config = config;
        this.world = world;
        this.counts = counts;
        this.wallOffset = wallOffset;
        this.writer = new UpdateEncoder(config.names(), nodes);
        nodeListReceived(EventHandler.NodeListKind.CACHED, config.knownNodes());
        begin();
    }

    /** A fresh module, told what is held: the list and who is joined. */
    private void begin() {
        brain = new RoutingPolicy(config.settings(), new SplittableRandom(config.seed() + begun));
        begun++;
        orders =
                new PlatformUpdateWriter(
                        config.settings().methods().size(), restless::contains, new Asking());
        rounds.restart();
        streams.values().forEach(stream -> stream.marks.clear());
        tellList(EventHandler.NodeListKind.CACHED, listed);
        streams.values().forEach(stream -> tellJoin(stream.join));
    }

    // ---- the list ----

    /**
     * A whole list without a node while nodes are held is not believed: it would take all lines
     * away on the word of one answer. What is held stays, and changes since that version count.
     */
    void nodeListReceived(long time, NodeList list) {
        now = time;
        if (list.full() && list.nodes().isEmpty() && !listed.isEmpty()) {
            LOG.warn(
                    "discovery: whole list version {} names no node: the {} held stay",
                    list.version(),
                    listed.size());
            nodeListUnavailable();
            return;
        }
        nodeListReceived(
                list.full()
                        ? EventHandler.NodeListKind.FULL
                        : EventHandler.NodeListKind.INCREMENTAL,
                list);
    }

    private void nodeListReceived(EventHandler.NodeListKind kind, NodeList list) {
        boolean whole = kind != EventHandler.NodeListKind.INCREMENTAL;
        if (!whole && list.nodes().isEmpty()) {
            return;
        }
        Map<NodeId, NodeEntry> told = new TreeMap<>();
        list.nodes().forEach(target -> told.put(nodes.register(target.name()), target));
        told.forEach(
                (id, target) -> {
                    if (mayBeShutOut(target, listed.get(id))) {
                        restless.add(id);
                    }
                });
        if (whole) {
            listed.keySet().stream().filter(id -> !told.containsKey(id)).forEach(restless::add);
            listed.clear();
        }
        told.forEach(
                (id, target) -> {
                    if (target.state() == EventHandler.NodeState.GONE) {
                        listed.remove(id);
                    } else {
                        listed.put(id, target);
                    }
                });
        tellList(kind, told);
        LOG.info(
                "list {} version {}: {} told, {} listed, {} draining",
                kind,
                list.version(),
                told.size(),
                listed.size(),
                listed.values().stream()
                        .filter(target -> target.state() == EventHandler.NodeState.DRAINING)
                        .count());
    }

    /**
     * Whether some conductor may have shut it out: it leaves, or has started anew since it was
     * listed. That it is young says nothing: a release brings new nodes under new names, and a line
     * of a message for each of them at each proxy would fill the channel for nothing.
     */
    private static boolean mayBeShutOut(NodeEntry target, NodeEntry before) {
        return target.state() != EventHandler.NodeState.READY
                || before != null && before.startedMillis() != target.startedMillis();
    }

    private void tellList(EventHandler.NodeListKind kind, Map<NodeId, NodeEntry> told) {
        rounds.add(observer -> observer.listStarted(kind));
        told.forEach(
                (id, target) -> {
                    long started =
                            target.startedMillis() == 0
                                    ? Long.MIN_VALUE
                                    : target.startedMillis() * 1_000_000 + wallOffset;
                    rounds.add(
                            observer ->
                                    observer.nodeListed(
                                            id,
                                            config.names().kind(target.kind()),
                                            config.names().zone(target.zone()),
                                            target.weight(),
                                            target.state(),
                                            started));
                });
        rounds.add(EventHandler::listCompleted);
    }

    /** The module is told only where the settings say that it asks for the list. */
    void nodeListUnavailable() {
        if (config.settings().listOnDemand()) {
            rounds.add(observer -> observer.listStarted(EventHandler.NodeListKind.UNAVAILABLE));
            rounds.add(EventHandler::listCompleted);
        }
    }

    void healthChecked(NodeId node, EventHandler.HealthCheckResult verdict) {
        rounds.add(observer -> observer.healthChecked(node, verdict));
    }

    // ---- streams ----

    /** A new stream of a proxy replaces the old one, whose own end may come later or never. */
    void proxyJoined(long time, ProxyConnection wire, Message.ProxyJoin join) {
        now = time;
        Stream old = streams.put(join.proxy(), new Stream(wire, join));
        if (old != null) {
            old.wire.close();
        }
        tellJoin(join);
        LOG.info(
                "proxy {} joined{}{}",
                join.proxy().value(),
                join.holdsNoTables() ? ", fresh" : "",
                old == null ? "" : ", in place of its old stream");
    }

    private void tellJoin(Message.ProxyJoin join) {
        orders.proxyJoined(join.proxy());
        rounds.add(
                observer ->
                        observer.proxyJoined(join.proxy(), join.zone(), join.requestsPerSecond()));
    }

    /**
     * Only the stream that stands ends; the late end of one that was replaced takes nothing with
     * it.
     */
    void connectionClosed(long time, ProxyConnection wire, ProxyId proxy) {
        now = time;
        Stream stream = streams.get(proxy);
        if (stream != null && stream.wire == wire) {
            streams.remove(proxy);
            orders.proxyLeft(proxy);
            rounds.add(observer -> observer.proxyLeft(proxy));
            LOG.info("proxy {} left", proxy.value());
        }
    }

    /** PlatformMetrics only on the stream that carried the mark. */
    void acknowledged(long time, ProxyConnection wire, Message.Acknowledgement done) {
        now = time;
        Stream stream = streams.get(done.proxy());
        Mark mark =
                stream == null || stream.wire != wire ? null : stream.marks.remove(done.token());
        if (mark == null) {
            strayAnswers++;
            return;
        }
        rounds.add(
                observer -> observer.acknowledged(done.proxy(), mark.mark(), done.latencyNanos()));
    }

    // ---- reports ----

    void loadReported(long time, Message.LoadReport sums) {
        now = time;
        NodeId node = nodes.find(sums.node()).orElse(null);
        if (node == null) {
            counts.drop(MalformedMessageException.Reason.UNKNOWN);
            return;
        }
        reports.merge(sums.zone(), 1L, Long::sum);
        heard.sums(node, sums);
        rounds.add(
                observer ->
                        observer.loadReported(
                                node,
                                sums.zone(),
                                sums.attempts(),
                                sums.failures(),
                                sums.latencySeconds(),
                                sums.periodNanos(),
                                sums.utilization()));
    }

    void demandReported(long time, Message.DemandReport offered) {
        now = time;
        heard.offered(offered);
        rounds.add(
                observer ->
                        observer.demandReported(
                                offered.proxy(),
                                offered.method(),
                                offered.requests(),
                                offered.periodNanos()));
    }

    // ---- rounds ----

    /** Plays a round if one is due; returns when to come back. */
    long runDue(long time) {
        now = time;
        if (now - seenAt >= SECOND) {
            seenAt = now;
            if (LOG.isDebugEnabled()) {
                listed.forEach(
                        (id, target) ->
                                LOG.debug(
                                        "node {} {} {} weight {} met {}",
                                        target.name(),
                                        target.kind(),
                                        target.state(),
                                        orders.weightOf(id),
                                        heard.read(id)));
            }
            LOG.info("{}", seen());
        }
        return Math.min(rounds.runDue(now, player), seenAt + SECOND);
    }

    String seen() {
        long open = streams.values().stream().mapToLong(stream -> stream.marks.size()).sum();
        long oldest =
                streams.values().stream()
                        .flatMap(stream -> stream.marks.values().stream())
                        .mapToLong(mark -> now - mark.at())
                        .max()
                        .orElse(0);
        List<String> zones = new ArrayList<>();
        reports.forEach((zone, count) -> zones.add(zone.value() + ":" + count));
        return "joined "
                + streams.size()
                + " bound "
                + orders.subscribedProxies()
                + " withdrawn "
                + orders.excludedNodes()
                + " listed "
                + listed.size()
                + " rounds "
                + rounds.roundsRun()
                + " worst "
                + rounds.maxNanos() / 1000
                + " us messages "
                + messages
                + " bytes "
                + bytes
                + " marks "
                + open
                + " oldest "
                + oldest / 1_000_000
                + " ms stray "
                + strayAnswers
                + " reports "
                + String.join(",", zones)
                + " drops "
                + counts.drops()
                + " "
                + heard.read()
                + " "
                + world.seen();
    }

    /** A module that throws has lost its place: a fresh one begins, as after a restart. */
    private final class Playing implements RoundScheduler.RoundHandler {
        @Override
        public void runRound(EventSource feed) {
            brain.round(now, feed, orders);
            Map<List<UpdatePart>, byte[]> written = new LinkedHashMap<>();
            ticket = (ticket + 1) % TICKETS;
            orders.finishRound((proxy, parts, mark) -> send(proxy, parts, mark, written));
        }

        @Override
        public void roundFailed(Throwable fault) {
            LOG.error("the decision module failed and begins anew", fault);
            begin();
        }
    }

    /**
     * Proxies that get the same parts share the bytes, as all of a round carry the one mark. It
     * goes out under a ticket of our own, one a round: an answer that is late, or from before the
     * module began anew, fits none.
     */
    private void send(
            ProxyId proxy,
            List<UpdatePart> parts,
            int mark,
            Map<List<UpdatePart>, byte[]> written) {
        Stream stream = streams.get(proxy);
        byte[] message =
                written.computeIfAbsent(parts, p -> writer.encode(p, mark < 0 ? -1 : ticket));
        if (stream.wire.writeBufferBytes() > UNWRITTEN_MOST) {
            LOG.warn("proxy {} takes nothing: its stream is ended", proxy.value());
            stream.wire.close();
            return;
        }
        if (mark >= 0) {
            if (stream.marks.size() >= MARKS_MOST) {
                stream.marks.remove(stream.marks.keySet().iterator().next());
            }
            stream.marks.put(ticket, new Mark(mark, now));
        }
        messages++;
        bytes += message.length;
        stream.wire.write(message);
    }

    private final class Asking implements PlatformUpdateWriter.PolicyRequests {
        @Override
        public void checkHealth(NodeId node) {
            NodeEntry target = listed.get(node);
            if (target != null) {
                world.checkHealth(node, target);
            }
        }

        /** Discovery is followed from the start on, so there is nothing to begin. */
        @Override
        public void watchNodes() {}

        @Override
        public void startTimer(long nanos) {
            rounds.scheduleAt(now + nanos);
        }

        @Override
        public void log(String line) {
            LOG.info("{}", named(line));
        }
    }

    /** The module speaks of nodes by number; whoever reads the log knows them by name. */
    private String named(String line) {
        String[] words = line.split(" ", 3);
        boolean node =
                words.length == 3 && words[0].equals("node") && words[1].matches("[0-9]{1,18}");
        return node
                ? "node " + nodes.nameOf(new NodeId(Long.parseLong(words[1]))) + " " + words[2]
                : line;
    }
}
