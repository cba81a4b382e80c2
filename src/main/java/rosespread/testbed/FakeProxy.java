package rosespread.testbed;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.apache.mina.core.session.IoSession;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.channel.Frame;
import rosespread.channel.Packing;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;

/** A plain proxy: follows tables, judges no node, reports late. Lives on the loop's thread. */
public final class FakeProxy {
    private static final double SECOND = 1e9;
    private static final long AVOID_LEAST = 2_000_000_000L;
    private static final long AVOID_MORE = 4_000_000_000L;
    private static final long LEAST_LEFT = 20_000_000L;

    final String name;
    final String zone;
    private final FakeProxies farm;
    private final TestLoop loop;
    private final SiteDefinition site;
    private final RandomGenerator random;
    private final TrafficRecorder record;
    private ProxyTables tables;
    private final Map<NodeId, Met> met = new TreeMap<>();
    private final Map<NodeId, Integer> out = new HashMap<>();
    private final Map<NodeId, Integer> failuresInRow = new HashMap<>();
    private final Map<NodeId, Long> avoidUntil = new HashMap<>();
    private final Map<MethodId, Integer> came = new TreeMap<>();
    private final Map<MethodId, Double> allowance = new HashMap<>();
    private final Map<MethodId, Boolean> pickable = new HashMap<>();
    private final Set<Runnable> inHand = new LinkedHashSet<>();
    private long allowanceAt;
    private long stalledUntil;
    private long reportedAt;
    private double rate;

    private IoSession session;
    private long stream;
    private String conductor = "";
    private List<Frame> message = new ArrayList<>();
    private boolean joined;
    private boolean boundOnce;
    private boolean isUp;
    private boolean cut;
    private boolean silent;

    private static final class Met {
        int tries;
        int unanswered;
        double seconds;
        double utilization = Double.NaN;
    }

    FakeProxy(
            String name,
            String zone,
            double rate,
            FakeProxies farm,
            TestLoop loop,
            SiteDefinition site,
            RandomGenerator random,
            TrafficRecorder record) {
        this.name = name;
        this.zone = zone;
        this.rate = rate;
        this.farm = farm;
        this.loop = loop;
        this.site = site;
        this.random = random;
        this.record = record;
    }

    public boolean isUp() {
        return isUp;
    }

    public boolean isSubscribed() {
        return joined && boundOnce;
    }

    private MethodId method(SiteDefinition.Method method) {
        return new MethodId(site.methods().indexOf(method));
    }

    // ---- life and stream ----

    /** Starts with tables drawn from the list, within its zone where that has three; dials. */
    void start(boolean dials) {
        isUp = true;
        boundOnce = false;
        tables = new ProxyTables(random);
        met.clear();
        came.clear();
        out.clear();
        avoidUntil.clear();
        failuresInRow.clear();
        reportedAt = loop.now();
        for (SiteDefinition.Method method : site.methods()) {
            tables.standing(method(method), farm.standing(zone, method, random));
        }
        pickable.clear();
        tellPickable();
        if (dials) {
            dial();
            long first = (long) (random.nextDouble() * site.reportPeriodNanos());
            long life = stream;
            loop.after(first, () -> report(life));
        }
    }

    /** The process dies. */
    void crash() {
        isUp = false;
        List.copyOf(inHand).forEach(Runnable::run);
        inHand.clear();
        drop();
    }

    /** No conductor can be reached; a silent cut tells nobody. */
    void cut(boolean on, boolean quietly) {
        cut = on;
        silent = on && quietly;
        if (on) {
            if (joined) {
                record.proxyLeft(loop.now(), name);
            }
            joined = false;
            if (!quietly) {
                drop();
            }
        } else {
            drop();
            dial();
        }
    }

    private void drop() {
        stream++;
        if (joined) {
            record.proxyLeft(loop.now(), name);
        }
        joined = false;
        if (session != null) {
            session.closeNow();
            session = null;
        }
    }

    private void dial() {
        if (!isUp || cut || session != null) {
            return;
        }
        long mine = ++stream;
        conductor = farm.dial(this, mine);
    }

    void redial() {
        long span = site.proxies().maxReconnectNanos() - site.proxies().minReconnectNanos();
        long life = stream;
        loop.after(
                site.proxies().minReconnectNanos() + random.nextLong(span + 1),
                () -> {
                    if (life == stream && session == null) {
                        dial();
                    }
                });
    }

    void opened(long of, IoSession made) {
        if (of != stream || !isUp || cut) {
            made.closeNow();
            return;
        }
        session = made;
        message = new ArrayList<>();
        tables.streamBegins();
        made.write(new Frame.Hello(Frame.VERSION, name, List.of()));
    }

    void closed(long of) {
        if (of == stream && !silent) {
            drop();
            redial();
        }
    }

    void received(long of, Frame frame) {
        if (of != stream || silent || session == null) {
            return;
        }
        if (frame instanceof Frame.Hello) {
            List<Frame.Holding> held = tables.held();
            session.write(new Frame.Join(name, zone, rate, Packing.isAvailable(), held));
            joined = true;
            Map<Integer, Long> versions = new TreeMap<>();
            held.forEach(h -> versions.put(h.table().value(), h.version()));
            record.proxyJoined(loop.now(), name, conductor, versions);
        } else if (frame instanceof Frame.KeepAlive alive) {
            session.write(new Frame.KeepAlive(alive.number(), true));
        } else if (frame instanceof Frame.Mark mark) {
            List<Frame> whole = message;
            message = new ArrayList<>();
            farm.carry(this, of, conductor, mark, whole);
        } else if (!(frame instanceof Frame.Close)) {
            message.add(frame);
        }
    }

    /** A message that has come through the link is taken up; reading it holds the proxy up. */
    void take(long of, Frame.Mark mark, List<Frame> whole) {
        if (of != stream || silent || session == null) {
            return;
        }
        for (Frame frame : whole) {
            if (frame instanceof Frame.Node node) {
                tables.named(
                        node.node(),
                        new ProxyTables.Place(
                                farm.nodeName(node.port()),
                                new InetSocketAddress(node.host(), node.port())));
            }
            boundOnce |= frame instanceof Frame.Bind;
        }
        if (farm.loses(random)) {
            whole.removeIf(frame -> frame instanceof Frame.Lines);
        }
        List<Frame> answers = new ArrayList<>();
        int lines = tables.apply(whole, answers);
        long now = loop.now();
        stalledUntil = Math.max(now, stalledUntil) + lines * site.proxies().stallPerEntryNanos();
        tellPickable();
        record.messageApplied(now, name, conductor, mark);
        for (Frame frame : whole) {
            if (frame instanceof Frame.Bind bind) {
                record.tableChanged(now, name, conductor, tables.held(bind.table()));
            } else if (frame instanceof Frame.Lines change && tables.holds(change.table())) {
                record.tableChanged(now, name, conductor, tables.held(change.table()));
            }
        }
        session.write(new Frame.Installed(mark.number()));
        answers.forEach(session::write);
    }

    private void tellPickable() {
        for (SiteDefinition.Method method : site.methods()) {
            boolean any = tables.pickable(method(method));
            if (!Boolean.valueOf(any).equals(pickable.put(method(method), any))) {
                record.availabilityChanged(loop.now(), name, method.name(), any);
            }
        }
    }

    private void report(long life) {
        if (!isUp) {
            return;
        }
        loop.after(site.reportPeriodNanos(), () -> report(life));
        long now = loop.now();
        long covers = (now - reportedAt) / 1000;
        reportedAt = now;
        List<Frame.Sum> sums = new ArrayList<>();
        met.forEach(
                (id, m) ->
                        sums.add(
                                new Frame.Sum(
                                        id,
                                        m.tries,
                                        m.unanswered,
                                        m.tries > m.unanswered
                                                ? m.seconds / (m.tries - m.unanswered)
                                                : Double.NaN,
                                        m.utilization)));
        met.clear();
        List<Frame.Count> counts = new ArrayList<>();
        came.forEach((method, count) -> counts.add(new Frame.Count(method, count)));
        came.replaceAll((method, count) -> 0);
        if (!joined) {
            return;
        }
        long of = stream;
        loop.after(
                farm.reportLate(),
                () -> {
                    if (of == stream && session != null && !silent) {
                        session.write(new Frame.Sums(covers, sums));
                        session.write(new Frame.Offered(covers, counts));
                    }
                });
    }

    // ---- RPCs ----

    /** One try of a client; {@code until} is when the client gives it up. */
    void rpc(OpenLoopClients.Arrival rpc, long until, Consumer<RpcResult> then) {
        long now = loop.now();
        if (stalledUntil > now) {
            loop.after(stalledUntil - now, () -> rpc(rpc, until, then));
            return;
        }
        if (!isUp) {
            then.accept(RpcResult.UNREACHABLE);
            return;
        }
        MethodId method = method(rpc.method());
        came.merge(method, 1, Integer::sum);
        if (!letIn(method)) {
            then.accept(RpcResult.REJECTED);
            return;
        }
        attempt(rpc, method, until, null, then);
    }

    private boolean letIn(MethodId method) {
        Frame.Level level = tables.level(method);
        if (level == null || Double.isInfinite(level.admitted())) {
            return true;
        }
        if (farm.levelsAreShares()) {
            return random.nextDouble() < level.admitted();
        }
        long now = loop.now();
        double gained = (now - allowanceAt) / SECOND;
        allowanceAt = now;
        for (SiteDefinition.Method each : site.methods()) {
            Frame.Level of = tables.level(method(each));
            double perSecond = of == null || Double.isInfinite(of.admitted()) ? 0 : of.admitted();
            allowance.merge(
                    method(each),
                    gained * perSecond,
                    (old, more) -> Math.min(Math.max(1, perSecond), old + more));
        }
        if (allowance.getOrDefault(method, 0.0) < 1) {
            return false;
        }
        allowance.merge(method, -1.0, Double::sum);
        return true;
    }

    private void attempt(
            OpenLoopClients.Arrival rpc,
            MethodId method,
            long until,
            NodeId before,
            Consumer<RpcResult> then) {
        long now = loop.now();
        Set<NodeId> avoided = new LinkedHashSet<>();
        avoidUntil.forEach(
                (id, end) -> {
                    if (end > now) {
                        avoided.add(id);
                    }
                });
        if (before != null) {
            avoided.add(before);
        }
        NodeId id = tables.pick(method, site.proxies().pick(), avoided, out);
        if (id == null || id.equals(before)) {
            then.accept(id == null ? RpcResult.REJECTED : RpcResult.FAILED);
            return;
        }
        ProxyTables.Place place = tables.place(id);
        record.attemptStarted(now, name, place.name(), rpc.number(), rpc.method());
        out.merge(id, 1, Integer::sum);
        HttpHeaders headers =
                HttpHeaders.of(
                        "host",
                        place.address().getHostString(),
                        "x-proxy",
                        name,
                        "x-rpc",
                        String.valueOf(rpc.number()),
                        "x-work-nanos",
                        String.valueOf(rpc.workNanos()));
        if (rpc.method().effect() == SiteDefinition.Effect.TOKENED) {
            headers.add("idempotency-key", "t" + rpc.number());
        }
        HttpMessage.Request call =
                new HttpMessage.Request(
                        "POST", "/rpc/" + rpc.method().name(), headers, new byte[0]);
        Runnable[] cancel = new Runnable[1];
        cancel[0] =
                farm.http()
                        .call(
                                place.address(),
                                call,
                                Math.max(1_000_000, until - now),
                                new HttpClient.Taker() {
                                    @Override
                                    public void answered(HttpMessage.Response answer) {
                                        loop.run(
                                                () ->
                                                        ended(
                                                                answer.status() < 400
                                                                        ? RpcResult.OK
                                                                        : answer.status() == 503
                                                                                ? RpcResult.REJECTED
                                                                                : RpcResult.FAILED,
                                                                answer));
                                    }

                                    @Override
                                    public void failed(HttpClient.Failure failure, String detail) {
                                        loop.run(
                                                () ->
                                                        ended(
                                                                switch (failure) {
                                                                    case NOT_CONNECTED ->
                                                                            RpcResult.UNREACHABLE;
                                                                    case TIMED_OUT ->
                                                                            RpcResult.TIMED_OUT;
                                                                    default -> RpcResult.FAILED;
                                                                },
                                                                null));
                                    }

                                    private void ended(
                                            RpcResult result, HttpMessage.Response answer) {
                                        inHand.remove(cancel[0]);
                                        out.merge(id, -1, Integer::sum);
                                        if (isUp) {
                                            count(id, result, answer, now);
                                            if (result != RpcResult.OK) {
                                                record.attemptFailed(
                                                        loop.now(),
                                                        name,
                                                        place.name(),
                                                        rpc.number(),
                                                        rpc.method());
                                            }
                                            if (before == null
                                                    && again(method, result)
                                                    && until - loop.now() > LEAST_LEFT) {
                                                attempt(rpc, method, until, id, then);
                                                return;
                                            }
                                        }
                                        then.accept(result);
                                    }
                                });
        inHand.add(cancel[0]);
    }

    /** No connection, and a push-back before any work, prove that the try never ran. */
    private boolean again(MethodId method, RpcResult result) {
        Frame.Level level = tables.level(method);
        Frame.Tries tries = level == null ? Frame.Tries.AFTER_PROOF : level.tries();
        boolean proof = result == RpcResult.UNREACHABLE || result == RpcResult.REJECTED;
        return result != RpcResult.OK
                && (tries == Frame.Tries.AFTER_ANY_FAILURE
                        || tries == Frame.Tries.AFTER_PROOF && proof);
    }

    private void count(NodeId id, RpcResult result, HttpMessage.Response answer, long begun) {
        Met m = met.computeIfAbsent(id, n -> new Met());
        m.tries++;
        if (result == RpcResult.OK) {
            failuresInRow.remove(id);
            m.seconds += (loop.now() - begun) / SECOND;
            String load = answer.headers().first("endpoint-load-metrics").orElse("");
            int at = load.indexOf("cpu_utilization=");
            if (at >= 0) {
                m.utilization = Double.parseDouble(load.substring(at + 16).split("[, ]")[0]);
            }
            return;
        }
        m.unanswered++;
        int row = failuresInRow.merge(id, 1, Integer::sum);
        if (site.proxies().avoidAfterFailures() > 0 && row >= site.proxies().avoidAfterFailures()) {
            failuresInRow.remove(id);
            avoidUntil.put(id, loop.now() + AVOID_LEAST + random.nextLong(AVOID_MORE));
        }
    }
}
