package rosespread.testbed;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Open-loop clients: RPCs come at the times drawn for them, whatever became of those before, and
 * latency counts from the time an RPC was due. A client repeats by itself what may be repeated.
 */
public final class OpenLoopClients {
    /**
     * One RPC, drawn ahead; {@code at} counts from the day's start and may lie before it, {@code
     * place} spreads over proxies.
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

    /**
     * Takes how each RPC ended, on the loop's thread; {@code latency} in nanoseconds from when it
     * was due.
     */
    public interface OutcomeListener {
        void rpcEnded(Arrival rpc, RpcResult result, long latency, int tries);
    }

    private final TestLoop loop;
    private final FakeProxies proxies;
    private final RandomGenerator random;
    private final OutcomeListener taker;
    private List<Arrival> day = List.of();
    private long start;
    private int next;
    private int pending;

    public OpenLoopClients(
            TestLoop loop, FakeProxies proxies, RandomGenerator random, OutcomeListener taker) {
        this.loop = loop;
        this.proxies = proxies;
        this.random = random;
        this.taker = taker;
    }

    /** Plays a day that starts at {@code at}; arrivals before it warm up what is there. */
    public void play(List<Arrival> arrivals, long at) {
        day = arrivals;
        start = at;
        next = 0;
        step();
    }

    public int pending() {
        return pending;
    }

    private void step() {
        long now = loop.now();
        while (next < day.size() && start + day.get(next).dueNanos() <= now) {
            Arrival rpc = day.get(next++);
            pending++;
            send(rpc, start + rpc.dueNanos(), 1);
        }
        if (next < day.size()) {
            loop.after(start + day.get(next).dueNanos() - loop.now(), this::step);
        }
    }

    /**
     * The front layer spreads over the zone's proxies; it passes over dead ones once it has
     * noticed.
     */
    private FakeProxy proxy(Arrival rpc) {
        if (rpc.hotProxy() != null && proxies.proxy(rpc.hotProxy()).isUp()) {
            return proxies.proxy(rpc.hotProxy());
        }
        List<String> near = proxies.names(rpc.zone());
        FakeProxy first = proxies.proxy(near.get((int) (rpc.proxyPosition() * near.size())));
        if (first.isUp() || random.nextInt(4) == 0) {
            return first;
        }
        List<FakeProxy> alive =
                proxies.names().stream().map(proxies::proxy).filter(FakeProxy::isUp).toList();
        return alive.isEmpty() ? first : alive.get(random.nextInt(alive.size()));
    }

    private void send(Arrival rpc, long due, int tries) {
        long deadline = due + rpc.method().deadlineNanos();
        long until =
                Math.min(
                        deadline,
                        loop.now() + (long) (rpc.method().deadlineNanos() * rpc.deadlineRatio()));
        proxy(rpc)
                .rpc(
                        rpc,
                        until,
                        result -> {
                            long now = loop.now();
                            boolean repeats =
                                    rpc.method().effect() == SiteDefinition.Effect.IDEMPOTENT
                                            || result == RpcResult.REJECTED
                                            || result == RpcResult.UNREACHABLE;
                            if (result != RpcResult.OK
                                    && repeats
                                    && tries <= rpc.retries()
                                    && now + rpc.retryDelayNanos() < deadline) {
                                loop.after(rpc.retryDelayNanos(), () -> send(rpc, due, tries + 1));
                            } else {
                                pending--;
                                taker.rpcEnded(rpc, result, now - due, tries);
                            }
                        });
    }
}
