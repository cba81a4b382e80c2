package rosespread.testbed;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Open-loop clients: RPCs come at the times drawn for them, whatever became of those before, and
 * latency counts from the time an RPC was due. A client repeats by itself what may be repeated.
 * Lives on the loop's thread.
 */
public final class OpenLoopClients {
    /** Clients still find a dead proxy once in so many times. */
    private static final int DEAD_PROXY_DRAWS = 4;

    /**
     * One RPC, drawn ahead.
     *
     * @param dueNanos since the start of the day; negative in the warm-up
     * @param proxyPosition spreads the RPCs over the zone's proxies, from 0 to 1
     * @param hotProxy the proxy that it goes to whatever its zone; null if there is none
     * @param workNanos at speed 1
     * @param retries how often its client sends it again at most
     * @param deadlineRatio the part of the deadline for which its client waits for an attempt
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

    /** Takes how each RPC ended, on the loop's thread. */
    @FunctionalInterface
    public interface OutcomeListener {
        /**
         * An RPC has ended.
         *
         * @param latencyNanos from when it was due
         * @param attempts how often its client sent it
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

    /** Clients that are yet to play a day. */
    public OpenLoopClients(
            TestLoop loop, FakeProxies proxies, RandomGenerator random, OutcomeListener listener) {
        this.loop = loop;
        this.proxies = proxies;
        this.random = random;
        this.listener = listener;
    }

    /**
     * Plays a day; arrivals before it warm up what is there.
     *
     * @param dayArrivals in order of time
     * @param startNanos when the day starts, on the loop's clock
     */
    public void play(List<Arrival> dayArrivals, long startNanos) {
        arrivals = dayArrivals;
        dayStartNanos = startNanos;
        next = 0;
        sendDue();
    }

    /** How many RPCs have been sent and not ended. */
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
                mayRepeat(rpc, result)
                        && attempt <= rpc.retries()
                        && now + rpc.retryDelayNanos() < deadlineNanos;
        if (retries) {
            loop.after(rpc.retryDelayNanos(), () -> send(rpc, attempt + 1));
        } else {
            pending--;
            listener.rpcEnded(rpc, result, now - dueNanos(rpc), attempt);
        }
    }

    private static boolean mayRepeat(Arrival rpc, RpcResult result) {
        return switch (result) {
            case OK -> false;
            case REJECTED, UNREACHABLE -> true;
            case FAILED, TIMED_OUT -> rpc.method().effect() == SiteDefinition.Effect.IDEMPOTENT;
        };
    }

    /**
     * The front layer spreads over the zone's proxies; it passes over dead ones once it has
     * noticed.
     */
    private FakeProxy chooseProxy(Arrival rpc) {
        if (rpc.hotProxy() != null && proxies.proxy(rpc.hotProxy()).isUp()) {
            return proxies.proxy(rpc.hotProxy());
        }
        List<String> inZone = proxies.names(rpc.zone());
        int position = (int) (rpc.proxyPosition() * inZone.size());
        FakeProxy first = proxies.proxy(inZone.get(position));
        if (first.isUp() || random.nextInt(DEAD_PROXY_DRAWS) == 0) {
            return first;
        }
        List<FakeProxy> alive =
                proxies.names().stream().map(proxies::proxy).filter(FakeProxy::isUp).toList();
        return alive.isEmpty() ? first : alive.get(random.nextInt(alive.size()));
    }
}
