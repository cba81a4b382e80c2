package rosespread.testbed;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ScheduledFuture;
import java.util.random.RandomGenerator;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/**
 * A node whose work is timers: cores, a queue, a speed, a cold ramp, and falling over when it is
 * sent far more than it can do while cold. Lives on the loop's thread.
 */
final class FakeNode {
    private static final long UTILIZATION_EVERY = 500_000_000L;
    private static final double SECOND = 1e9;

    /** The budget of a cold node has this much room for chance, in RPCs' work. */
    private static final int SLACK_RPCS = 4;

    final String name;
    final String zone;
    final String kind;
    final InetSocketAddress address;
    private final TestLoop loop;
    private final SiteDefinition site;
    private final SiteDefinition.MachineType size;
    private final Map<String, Long> zoneTokens;
    private final RandomGenerator random;
    private final TrafficRecorder record;
    private final Set<Job> running = new LinkedHashSet<>();
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private long startedAt = Long.MIN_VALUE;
    private boolean coldTold;
    private double windowWork;
    private double busySeconds;
    private long busyAt;
    private long utilizationAt;
    private double utilization;

    boolean up;
    boolean hung;
    boolean fallen;
    double abortShare;
    double slowing = 1;
    double reportFactor = 1;

    private record Sent(long at, double work, String proxy) {}

    private final class Job {
        final SiteDefinition.Method method;
        final long rpc;
        final double work;
        final String token;
        final HttpServer.Exchange exchange;
        ScheduledFuture<?> end;

        Job(
                SiteDefinition.Method method,
                long rpc,
                double work,
                String token,
                HttpServer.Exchange exchange) {
            this.method = method;
            this.rpc = rpc;
            this.work = work;
            this.token = token;
            this.exchange = exchange;
        }
    }

    FakeNode(
            String name,
            String zone,
            String kind,
            InetSocketAddress address,
            TestLoop loop,
            SiteDefinition site,
            Map<String, Long> zoneTokens,
            RandomGenerator random,
            TrafficRecorder record) {
        this.name = name;
        this.zone = zone;
        this.kind = kind;
        this.address = address;
        this.loop = loop;
        this.site = site;
        this.size = site.machineTypes().get(kind);
        this.zoneTokens = zoneTokens;
        this.random = random;
        this.record = record;
        this.busyAt = loop.now();
        this.utilizationAt = busyAt;
    }

    /** Starts the process; a cold one warms up from now on. */
    void start(boolean cold) {
        up = true;
        hung = false;
        fallen = false;
        coldTold = false;
        startedAt = cold ? loop.now() : Long.MIN_VALUE;
        windowWork = 0;
        sent.clear();
        if (cold) {
            record.warmUpStarted(startedAt, name);
        }
    }

    /** The process dies: what it had in hand is lost. */
    void stop() {
        up = false;
        busy();
        running.forEach(job -> job.end.cancel(false));
        running.clear();
        queue.clear();
    }

    private boolean cold() {
        return startedAt != Long.MIN_VALUE
                && loop.now() - startedAt < site.warmUp().durationNanos();
    }

    private double warmth() {
        return cold()
                ? site.warmUp().initialRatio()
                        + (1 - site.warmUp().initialRatio())
                                * (loop.now() - startedAt)
                                / site.warmUp().durationNanos()
                : 1;
    }

    private double capacity() {
        return size.cores() * size.speed() * slowing * warmth();
    }

    void take(HttpMessage.Request call, HttpServer.Exchange exchange) {
        if (!up) {
            exchange.hangUp();
        } else if (call.path().equals("/health")) {
            if (!hung) {
                exchange.answer(
                        HttpMessage.Response.of(
                                random.nextDouble() < abortShare ? 500 : 200, "text/plain", ""));
            }
        } else {
            rpc(call, exchange);
        }
    }

    private void rpc(HttpMessage.Request call, HttpServer.Exchange exchange) {
        String methodName = call.path().substring(call.path().lastIndexOf('/') + 1);
        SiteDefinition.Method method =
                site.methods().stream()
                        .filter(m -> m.name().equals(methodName))
                        .findFirst()
                        .orElse(null);
        if (method == null || !method.isServedBy(kind)) {
            exchange.answer(HttpMessage.Response.of(404, "text/plain", "no such method here"));
            return;
        }
        double work = Long.parseLong(call.headers().first("x-work-nanos").orElse("0")) / SECOND;
        if (cold()) {
            heat(work, method, call.headers().first("x-proxy").orElse(""));
        }
        if (hung || fallen) {
            return;
        }
        if (random.nextDouble() < abortShare) {
            record.effectApplied(loop.now(), name, number(call), method);
            exchange.answer(HttpMessage.Response.of(500, "text/plain", "aborted"));
            return;
        }
        Job job =
                new Job(
                        method,
                        number(call),
                        work,
                        call.headers().first("idempotency-key").orElse(null),
                        exchange);
        if (running.size() < size.cores()) {
            begin(job);
        } else if (queue.size() < site.queuePerCore() * size.cores()) {
            queue.addLast(job);
        } else {
            exchange.answer(HttpMessage.Response.of(503, "text/plain", "full; not begun"));
            return;
        }
        exchange.onClosed(() -> loop.run(() -> cancelled(job)));
    }

    private static long number(HttpMessage.Request call) {
        return Long.parseLong(call.headers().first("x-rpc").orElse("0"));
    }

    /**
     * PlatformMetrics what a cold node is sent against a budget over the window; over it, the node
     * falls and stays down.
     */
    private void heat(double work, SiteDefinition.Method method, String proxy) {
        long now = loop.now();
        if (!coldTold) {
            coldTold = true;
            record.warmingNodeReached(now, name);
        }
        sent.addLast(new Sent(now, work, proxy));
        windowWork += work;
        while (now - sent.peekFirst().at() > site.warmUp().windowNanos()) {
            windowWork -= sent.removeFirst().work();
        }
        double budget =
                site.warmUp().overloadFactor() * capacity() * site.warmUp().windowNanos() / SECOND
                        + SLACK_RPCS * method.workNanos() / SECOND;
        if (!fallen && windowWork > budget) {
            fallen = true;
            Map<String, Double> by = new TreeMap<>();
            sent.forEach(s -> by.merge(s.proxy(), s.work(), Double::sum));
            record.nodeOverloaded(now, name, startedAt, by);
        }
    }

    private void begin(Job job) {
        busy();
        running.add(job);
        boolean repeat = false;
        if (job.token != null) {
            Long until = zoneTokens.get(job.token);
            repeat = until != null && until > loop.now();
            if (!repeat) {
                zoneTokens.put(job.token, loop.now() + job.method.tokenWindowNanos());
            }
        }
        if (!repeat) {
            record.effectApplied(loop.now(), name, job.rpc, job.method);
        }
        double seconds = repeat ? 0.001 : job.work / (size.speed() * slowing * warmth());
        job.end =
                loop.after(
                        (long) (seconds * SECOND),
                        () -> {
                            free(job);
                            if (!hung && up) {
                                job.exchange.answer(
                                        new HttpMessage.Response(
                                                200,
                                                HttpHeaders.of(
                                                        "endpoint-load-metrics",
                                                        "TEXT cpu_utilization=" + utilization()),
                                                new byte[0]));
                            }
                        });
    }

    private void free(Job job) {
        busy();
        if (running.remove(job) && up && !queue.isEmpty()) {
            begin(queue.removeFirst());
        }
    }

    private void cancelled(Job job) {
        if (!queue.remove(job) && running.contains(job)) {
            job.end.cancel(false);
            free(job);
        }
    }

    private void busy() {
        long now = loop.now();
        busySeconds += running.size() * (now - busyAt) / SECOND;
        busyAt = now;
    }

    private double utilization() {
        long now = loop.now();
        if (now - utilizationAt > UTILIZATION_EVERY) {
            busy();
            utilization =
                    Math.min(1, busySeconds / ((now - utilizationAt) / SECOND) / size.cores());
            busySeconds = 0;
            utilizationAt = now;
        }
        return Math.round(utilization * reportFactor * 1000) / 1000.0;
    }

    /** Drops tokens whose window is over. */
    static void forget(Map<String, Long> tokens, long now) {
        new LinkedHashMap<>(tokens)
                .forEach(
                        (token, until) -> {
                            if (until < now) {
                                tokens.remove(token);
                            }
                        });
    }
}
