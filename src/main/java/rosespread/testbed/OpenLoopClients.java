package rosespread.testbed;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Open-loop clients: each RPC is sent at the time drawn for it, regardless of the outcome of
 * earlier RPCs, and its latency counts from its due time. A client retries an RPC if the failed
 * attempt certainly had no effect or the method is idempotent. Confined to the loop's thread.
 */
public final class OpenLoopClients {
    /** One in this many RPCs for a dead proxy is still sent to it. */
    private static final int DEAD_PROXY_ONE_IN = 4;

    /**
     * One RPC, drawn in advance.
     *
     * @param dueNanos time from the start of the measured period; negative in the warm-up
     * @param proxyPosition position among the zone's proxies, from 0 to 1; spreads RPCs over them
     * @param hotProxy proxy that receives the RPC regardless of zone; null if there is none
     * @param workNanos work of the RPC at speed 1
     * @param retries maximum number of retries by the client
     * @param deadlineRatio fraction of the method's deadline for which the client waits for the
     *     result of an attempt
     */
    public record Arrival(
            long number,
            long dueNanos,
            SiteDefinition.Method method,
            String zone,
            double proxyPosition,
            String hotProxy,
            long workNanos,
            int retries,
            long retryDelayNanos,
            double deadlineRatio) {}

    /** Receives the result of each RPC, on the loop's thread. */
    @FunctionalInterface
    public interface OutcomeListener {
        /**
         * Called when an RPC has ended.
         *
         * @param latencyNanos time since the RPC was due
         * @param attempts how often the client sent the RPC
         */
        void rpcEnded(Arrival rpc, RpcResult result, long latencyNanos, int attempts);
    }

    private final TestLoop loop;
    private final FakeProxies proxies;
    private final RandomGenerator random;
    private final OutcomeListener listener;
    private List<Arrival> arrivals = List.of();
    private long dayStartNanos;
    private int next;
    private int pending;

    /** Creates clients that send no RPCs until {@link #play} is called. */
    public OpenLoopClients(
            TestLoop loop, FakeProxies proxies, RandomGenerator random, OutcomeListener listener) {
        this.loop = loop;
        this.proxies = proxies;
        this.random = random;
        this.listener = listener;
    }

    /**
     * Sends the RPCs of a run; RPCs due before the start of the measured period are the warm-up.
     *
     * @param dayArrivals RPCs in order of due time
     * @param startNanos start of the measured period on the loop's clock
     */
    public void play(List<Arrival> dayArrivals, long startNanos) {
        arrivals = dayArrivals;
        dayStartNanos = startNanos;
        next = 0;
        sendDue();
    }

    /** Returns the number of RPCs that have been sent and have not ended. */
    public int pending() {
        return pending;
    }

    private void sendDue() {
        long now = loop.now();
        while (next < arrivals.size() && dueNanos(arrivals.get(next)) <= now) {
            Arrival rpc = arrivals.get(next);
            next++;
            pending++;
            send(rpc, 1);
        }
        if (next < arrivals.size()) {
            loop.after(dueNanos(arrivals.get(next)) - loop.now(), this::sendDue);
        }
    }

    private long dueNanos(Arrival rpc) {
        return dayStartNanos + rpc.dueNanos();
    }

    private void send(Arrival rpc, int attempt) {
        long deadlineNanos = rpc.method().deadlineNanos();
        long untilNanos =
                Math.min(
                        dueNanos(rpc) + deadlineNanos,
                        loop.now() + (long) (deadlineNanos * rpc.deadlineRatio()));
        chooseProxy(rpc).forward(rpc, untilNanos, result -> ended(rpc, attempt, result));
    }

    private void ended(Arrival rpc, int attempt, RpcResult result) {
        long now = loop.now();
        long deadlineNanos = dueNanos(rpc) + rpc.method().deadlineNanos();
        boolean retries =
                mayRetry(rpc, result)
                        && attempt <= rpc.retries()
                        && now + rpc.retryDelayNanos() < deadlineNanos;
        if (retries) {
            loop.after(rpc.retryDelayNanos(), () -> send(rpc, attempt + 1));
        } else {
            pending--;
            listener.rpcEnded(rpc, result, now - dueNanos(rpc), attempt);
        }
    }

    private static boolean mayRetry(Arrival rpc, RpcResult result) {
        return switch (result) {
            case OK -> false;
            case REJECTED, UNREACHABLE -> true;
            case FAILED, TIMED_OUT -> rpc.method().effect() == SiteDefinition.Effect.IDEMPOTENT;
        };
    }

    /**
     * Chooses a proxy as the load balancer in front of the proxies does: spreads RPCs over the
     * zone's proxies, and bypasses a dead proxy once the balancer has noticed.
     */
    private FakeProxy chooseProxy(Arrival rpc) {
        if (rpc.hotProxy() != null && proxies.proxy(rpc.hotProxy()).isUp()) {
            return proxies.proxy(rpc.hotProxy());
        }
        List<String> inZone = proxies.names(rpc.zone());
        int position = (int) (rpc.proxyPosition() * inZone.size());
        FakeProxy first = proxies.proxy(inZone.get(position));
        if (first.isUp() || random.nextInt(DEAD_PROXY_ONE_IN) == 0) {
            return first;
        }
        List<FakeProxy> alive =
                proxies.names().stream().map(proxies::proxy).filter(FakeProxy::isUp).toList();
        return alive.isEmpty() ? first : alive.get(random.nextInt(alive.size()));
    }
}
