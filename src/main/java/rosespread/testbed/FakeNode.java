package rosespread.testbed;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.random.RandomGenerator;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;
import rosespread.http.HttpServer;

/**
 * A node that simulates its work with timers: it has cores, a queue, a speed and a warm-up. A node
 * that is sent more work during its warm-up than {@link WarmUpLoad} allows is overloaded and
 * accepts no RPC until it is restarted. Confined to the loop's thread.
 */
final class FakeNode {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Processing time of a repeated RPC that has no effect. */
    private static final double REPEATED_RPC_SECONDS = 0.001;

    /** Reported utilization is rounded to a multiple of 1 divided by this number. */
    private static final double UTILIZATION_STEPS = 1000;

    private static final String TEXT_PLAIN = "text/plain";

    /**
     * A node's fixed properties.
     *
     * @param machineType name of a machine type of the site definition
     */
    record Identity(String name, String zone, String machineType, InetSocketAddress address) {}

    private final Identity identity;
    private final TestLoop loop;
    private final SiteDefinition site;
    private final SiteDefinition.MachineType machine;
    private final IdempotencyTokens zoneTokens;
    private final RandomGenerator random;
    private final TrafficRecorder recorder;
    private final Set<Job> running = new LinkedHashSet<>();
    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final WarmUpLoad warmUpLoad;
    private final UtilizationMeter meter;
    private long warmUpStartNanos = Long.MIN_VALUE;
    private boolean receivedRpcWhileWarming;
    private boolean up;
    private boolean hung;
    private boolean overloaded;
    private double abortRatio;
    private double speedFactor = 1;
    private double reportFactor = 1;

    /** An RPC that runs or is queued. */
    private static final class Job {
        final SiteDefinition.Method method;
        final long rpc;
        final double workSeconds;
        final Optional<String> token;
        final HttpServer.Exchange exchange;
        ScheduledFuture<?> completion;

        Job(SiteDefinition.Method method, HttpMessage.Request call, HttpServer.Exchange exchange) {
            this.method = method;
            this.rpc = rpcNumber(call);
            this.workSeconds = workSeconds(call);
            this.token = call.headers().first("idempotency-key");
            this.exchange = exchange;
        }
    }

    /**
     * Creates a node that is not started yet.
     *
     * @param zoneTokens idempotency tokens shared by all nodes of the zone
     */
    FakeNode(
            Identity identity,
            TestLoop loop,
            SiteDefinition site,
            IdempotencyTokens zoneTokens,
            RandomGenerator random,
            TrafficRecorder recorder) {
        this.identity = identity;
        this.loop = loop;
        this.site = site;
        this.machine = site.machineTypes().get(identity.machineType());
        this.zoneTokens = zoneTokens;
        this.random = random;
        this.recorder = recorder;
        this.warmUpLoad = new WarmUpLoad(site.warmUp());
        this.meter = new UtilizationMeter(machine.cores(), loop.now());
    }

    Identity identity() {
        return identity;
    }

    boolean isUp() {
        return up;
    }

    /** Sets whether the node hangs: it accepts RPCs and health checks but does not answer. */
    void setHung(boolean isHung) {
        hung = isHung;
    }

    /** Sets the ratio of RPCs and health checks that fail immediately, 0 to 1. */
    void setAbortRatio(double ratio) {
        abortRatio = ratio;
    }

    /** Sets the factor on the node's speed; 1 is normal. */
    void setSpeedFactor(double factor) {
        speedFactor = factor;
    }

    /** Sets the factor on the reported utilization; 1 reports the true value. */
    void setReportFactor(double factor) {
        reportFactor = factor;
    }

    /** Starts the process; a cold process warms up from now on. */
    void start(boolean cold) {
        up = true;
        hung = false;
        overloaded = false;
        receivedRpcWhileWarming = false;
        warmUpStartNanos = cold ? loop.now() : Long.MIN_VALUE;
        warmUpLoad.reset();
        if (cold) {
            recorder.warmUpStarted(warmUpStartNanos, identity.name());
        }
    }

    /** Kills the process; running and queued RPCs are lost. */
    void stop() {
        up = false;
        meter.update(loop.now(), running.size());
        running.forEach(job -> job.completion.cancel(false));
        running.clear();
        queue.clear();
    }

    private boolean isWarmingUp() {
        return warmUpStartNanos != Long.MIN_VALUE
                && loop.now() - warmUpStartNanos < site.warmUp().durationNanos();
    }

    /** Returns the ratio of the current to the full speed of the node, 0 to 1. */
    private double warmUpRatio() {
        if (!isWarmingUp()) {
            return 1;
        }
        SiteDefinition.WarmUp warmUp = site.warmUp();
        return warmUp.initialRatio()
                + (1 - warmUp.initialRatio())
                        * (loop.now() - warmUpStartNanos)
                        / warmUp.durationNanos();
    }

    /** Returns the work that a core does at present, in seconds of work per second. */
    private double coreSpeed() {
        return machine.speed() * speedFactor * warmUpRatio();
    }

    /** Handles an HTTP request to the node's port. */
    void handle(HttpMessage.Request call, HttpServer.Exchange exchange) {
        if (!up) {
            exchange.abort();
        } else if (call.path().equals("/health")) {
            handleHealthCheck(exchange);
        } else {
            handleRpc(call, exchange);
        }
    }

    private void handleHealthCheck(HttpServer.Exchange exchange) {
        if (!hung) {
            int status = random.nextDouble() < abortRatio ? 500 : 200;
            exchange.respond(HttpMessage.Response.of(status, TEXT_PLAIN, ""));
        }
    }

    private void handleRpc(HttpMessage.Request call, HttpServer.Exchange exchange) {
        String methodName = call.path().substring(call.path().lastIndexOf('/') + 1);
        SiteDefinition.Method method = site.method(methodName).orElse(null);
        if (method == null || !method.isServedBy(identity.machineType())) {
            exchange.respond(HttpMessage.Response.of(404, TEXT_PLAIN, "no such method here"));
            return;
        }
        if (isWarmingUp()) {
            addWarmUpLoad(call, method);
        }
        if (hung || overloaded) {
            return;
        }
        if (random.nextDouble() < abortRatio) {
            recorder.effectApplied(loop.now(), identity.name(), rpcNumber(call), method);
            exchange.respond(HttpMessage.Response.of(500, TEXT_PLAIN, "aborted"));
            return;
        }
        admit(new Job(method, call, exchange));
    }

    private static long rpcNumber(HttpMessage.Request call) {
        return Long.parseLong(call.headers().first("x-rpc").orElse("0"));
    }

    private static double workSeconds(HttpMessage.Request call) {
        return Long.parseLong(call.headers().first("x-work-nanos").orElse("0")) / NANOS_PER_SECOND;
    }

    /**
     * Adds an RPC to the load of the warming node; the node is overloaded until its restart once
     * the load exceeds {@link WarmUpLoad#isOverload the limit}.
     */
    private void addWarmUpLoad(HttpMessage.Request call, SiteDefinition.Method method) {
        long now = loop.now();
        if (!receivedRpcWhileWarming) {
            receivedRpcWhileWarming = true;
            recorder.warmingNodeReached(now, identity.name());
        }
        warmUpLoad.add(now, workSeconds(call), call.headers().first("x-proxy").orElse(""));
        double capacity = machine.cores() * machine.speed() * speedFactor * warmUpRatio();
        if (!overloaded && warmUpLoad.isOverload(capacity, method.workNanos())) {
            overloaded = true;
            recorder.nodeOverloaded(
                    now, identity.name(), warmUpStartNanos, warmUpLoad.workByProxy());
        }
    }

    private void admit(Job job) {
        if (running.size() < machine.cores()) {
            begin(job);
        } else if (queue.size() < site.queuePerCore() * machine.cores()) {
            queue.addLast(job);
        } else {
            job.exchange.respond(HttpMessage.Response.of(503, TEXT_PLAIN, "full; not begun"));
            return;
        }
        job.exchange.onClosed(() -> loop.run(() -> cancel(job)));
    }

    private void begin(Job job) {
        long now = loop.now();
        meter.update(now, running.size());
        running.add(job);
        boolean isRepeat =
                job.token
                        .map(token -> !zoneTokens.claim(token, now, job.method.tokenWindowNanos()))
                        .orElse(false);
        if (!isRepeat) {
            recorder.effectApplied(now, identity.name(), job.rpc, job.method);
        }
        double seconds = isRepeat ? REPEATED_RPC_SECONDS : job.workSeconds / coreSpeed();
        job.completion = loop.after((long) (seconds * NANOS_PER_SECOND), () -> complete(job));
    }

    private void complete(Job job) {
        release(job);
        if (!hung && up) {
            job.exchange.respond(
                    new HttpMessage.Response(
                            200,
                            HttpHeaders.of(
                                    "endpoint-load-metrics",
                                    "TEXT cpu_utilization=" + reportedUtilization()),
                            new byte[0]));
        }
    }

    private void release(Job job) {
        meter.update(loop.now(), running.size());
        if (running.remove(job) && up && !queue.isEmpty()) {
            begin(queue.removeFirst());
        }
    }

    private void cancel(Job job) {
        if (!queue.remove(job) && running.contains(job)) {
            job.completion.cancel(false);
            release(job);
        }
    }

    private double reportedUtilization() {
        double utilization = meter.utilization(loop.now(), running.size());
        return Math.round(utilization * reportFactor * UTILIZATION_STEPS) / UTILIZATION_STEPS;
    }
}
