package rosespread.testbed;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.channel.Frame;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;

/**
 * Forwards clients' RPCs to nodes as a simple proxy does: applies the admission limits of its
 * tables, picks nodes by weight, and retries once where the retry rule allows it. Confined to the
 * loop's thread; results of the HTTP client are handed over to that thread.
 */
final class RpcForwarder {
    private static final long MIN_ATTEMPT_TIMEOUT_NANOS = 1_000_000L;

    /** An RPC is retried only if more than this time is left until the client stops waiting. */
    private static final long MIN_TIME_FOR_RETRY_NANOS = 20_000_000L;

    private static final int FIRST_ERROR_STATUS = 400;
    private static final int UNAVAILABLE_STATUS = 503;
    private static final String UTILIZATION_FIELD = "cpu_utilization=";

    private final String proxy;
    private final ProxyContext context;
    private final TestLoop loop;
    private final TrafficRecorder recorder;
    private final LoadReporter reporter;
    private final NodeAvoidance avoidance;
    private final AdmissionLimiter limiter;
    private final Map<NodeId, Integer> inFlight = new HashMap<>();
    private final Set<Runnable> cancellations = new LinkedHashSet<>();
    private ProxyTables tables;
    private boolean running;
    private long stalledUntilNanos;

    RpcForwarder(String proxy, ProxyContext context, LoadReporter reporter) {
        this.proxy = proxy;
        this.context = context;
        this.loop = context.loop();
        this.recorder = context.recorder();
        this.reporter = reporter;
        this.avoidance =
                new NodeAvoidance(context.site().proxies().avoidAfterFailures(), context.random());
        this.limiter =
                new AdmissionLimiter(
                        context.limitsAreShares(), context.methodIds(), context.random());
    }

    /** Starts forwarding for a new process of the proxy, with its initial tables. */
    void start(ProxyTables startingTables) {
        running = true;
        tables = startingTables;
        inFlight.clear();
        avoidance.reset();
    }

    /** Stops forwarding when the proxy's process dies, and cancels all attempts. */
    void stop() {
        running = false;
        List.copyOf(cancellations).forEach(Runnable::run);
        cancellations.clear();
    }

    /**
     * Delays all RPCs for the time that applying a message takes, in addition to a delay that has
     * not ended yet.
     */
    void stall(long nanos) {
        stalledUntilNanos = Math.max(loop.now(), stalledUntilNanos) + nanos;
    }

    /**
     * Forwards an RPC.
     *
     * @param untilNanos time at which the client stops waiting
     * @param listener called once with the result
     */
    void forward(OpenLoopClients.Arrival rpc, long untilNanos, Consumer<RpcResult> listener) {
        long now = loop.now();
        if (stalledUntilNanos > now) {
            loop.after(stalledUntilNanos - now, () -> forward(rpc, untilNanos, listener));
            return;
        }
        if (!running) {
            listener.accept(RpcResult.UNREACHABLE);
            return;
        }
        MethodId method = context.methodId(rpc.method());
        reporter.requestReceived(method);
        if (!limiter.admits(method, tables, loop.now())) {
            listener.accept(RpcResult.REJECTED);
            return;
        }
        attemptFirst(new Call(rpc, method, untilNanos, listener));
    }

    /** An RPC in progress. */
    private record Call(
            OpenLoopClients.Arrival rpc,
            MethodId method,
            long untilNanos,
            Consumer<RpcResult> listener) {
        void end(RpcResult result) {
            listener.accept(result);
        }
    }

    private void attemptFirst(Call call) {
        Set<NodeId> avoided = avoidance.avoidedAt(loop.now());
        pick(call, avoided)
                .ifPresentOrElse(
                        node -> new Attempt(call, node, false).start(),
                        () -> call.end(RpcResult.REJECTED));
    }

    private void retry(Call call, NodeId failed) {
        Set<NodeId> avoided = avoidance.avoidedAt(loop.now());
        avoided.add(failed);
        Optional<NodeId> picked = pick(call, avoided);
        if (picked.isEmpty()) {
            call.end(RpcResult.REJECTED);
        } else if (picked.get().equals(failed)) {
            call.end(RpcResult.FAILED);
        } else {
            new Attempt(call, picked.get(), true).start();
        }
    }

    private Optional<NodeId> pick(Call call, Set<NodeId> avoided) {
        return tables.pick(call.method(), context.site().proxies().pick(), avoided, inFlight);
    }

    /**
     * Returns whether a result permits a retry. A failed connection or a rejection before any work
     * proves that the attempt had no effect.
     */
    private boolean mayRetry(MethodId method, RpcResult result) {
        if (result == RpcResult.OK) {
            return false;
        }
        boolean hadNoEffect = result == RpcResult.UNREACHABLE || result == RpcResult.REJECTED;
        return switch (tables.admissionLimit(method)
                .map(Frame.Level::tries)
                .orElse(Frame.Tries.AFTER_PROOF)) {
            case NONE -> false;
            case AFTER_PROOF -> hadNoEffect;
            case AFTER_ANY_FAILURE -> true;
        };
    }

    /** One attempt of an RPC at one node. */
    private final class Attempt implements HttpClient.ResponseHandler {
        private final Call call;
        private final NodeId node;
        private final NodeAddress address;
        private final boolean isRetry;
        private final long startNanos = loop.now();
        private Runnable cancellation;

        Attempt(Call call, NodeId node, boolean isRetry) {
            this.call = call;
            this.node = node;
            this.address = tables.address(node);
            this.isRetry = isRetry;
        }

        void start() {
            OpenLoopClients.Arrival rpc = call.rpc();
            recorder.attemptStarted(startNanos, proxy, address.name(), rpc.number(), rpc.method());
            inFlight.merge(node, 1, Integer::sum);
            long timeoutNanos = Math.max(MIN_ATTEMPT_TIMEOUT_NANOS, call.untilNanos() - startNanos);
            cancellation = context.http().call(address.address(), request(rpc), timeoutNanos, this);
            cancellations.add(cancellation);
        }

        private HttpMessage.Request request(OpenLoopClients.Arrival rpc) {
            HttpHeaders headers =
                    HttpHeaders.of(
                            "host",
                            address.address().getHostString(),
                            "x-proxy",
                            proxy,
                            "x-rpc",
                            String.valueOf(rpc.number()),
                            "x-work-nanos",
                            String.valueOf(rpc.workNanos()));
            if (rpc.method().effect() == SiteDefinition.Effect.TOKENED) {
                headers.add("idempotency-key", "t" + rpc.number());
            }
            return new HttpMessage.Request(
                    "POST", "/rpc/" + rpc.method().name(), headers, new byte[0]);
        }

        @Override
        public void onResponse(HttpMessage.Response response) {
            loop.run(() -> ended(toResult(response.status()), response));
        }

        @Override
        public void onFailure(HttpClient.Failure failure, String detail) {
            loop.run(() -> ended(toResult(failure), null));
        }

        private void ended(RpcResult result, HttpMessage.Response response) {
            cancellations.remove(cancellation);
            inFlight.merge(node, -1, Integer::sum);
            if (running && result == RpcResult.OK) {
                recordSuccess(response);
            } else if (running) {
                recordFailure();
                boolean inTime = call.untilNanos() - loop.now() > MIN_TIME_FOR_RETRY_NANOS;
                if (!isRetry && inTime && mayRetry(call.method(), result)) {
                    retry(call, node);
                    return;
                }
            }
            call.end(result);
        }

        private void recordSuccess(HttpMessage.Response response) {
            avoidance.attemptSucceeded(node);
            reporter.attemptSucceeded(node, loop.now() - startNanos, utilization(response));
        }

        private void recordFailure() {
            long now = loop.now();
            reporter.attemptFailed(node);
            avoidance.attemptFailed(node, now);
            OpenLoopClients.Arrival rpc = call.rpc();
            recorder.attemptFailed(now, proxy, address.name(), rpc.number(), rpc.method());
        }
    }

    private static RpcResult toResult(int status) {
        if (status < FIRST_ERROR_STATUS) {
            return RpcResult.OK;
        }
        return status == UNAVAILABLE_STATUS ? RpcResult.REJECTED : RpcResult.FAILED;
    }

    private static RpcResult toResult(HttpClient.Failure failure) {
        return switch (failure) {
            case NOT_CONNECTED -> RpcResult.UNREACHABLE;
            case TIMED_OUT -> RpcResult.TIMED_OUT;
            default -> RpcResult.FAILED;
        };
    }

    /**
     * Returns the utilization that a node reported in ORCA's text format, 0 to 1; NaN if it
     * reported none.
     */
    private static double utilization(HttpMessage.Response response) {
        String metrics = response.headers().first("endpoint-load-metrics").orElse("");
        int index = metrics.indexOf(UTILIZATION_FIELD);
        if (index < 0) {
            return Double.NaN;
        }
        String value = metrics.substring(index + UTILIZATION_FIELD.length()).split("[, ]")[0];
        return Double.parseDouble(value);
    }
}
