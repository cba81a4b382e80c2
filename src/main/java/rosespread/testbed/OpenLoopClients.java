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
            long at,
            SiteDefinition.Method method,
            String zone,
            double place,
            String hot,
            long work,
            int retries,
            long retryWait,
            double patience) {}

    /**
     * Takes how each RPC ended, on the loop's thread; {@code latency} in nanoseconds from when it
     * was due.
     */
    public interface Taker {
        void ended(Arrival rpc, FakeProxy.Result result, long latency, int tries);
    }

    private final TestLoop loop;
    private final FakeProxies proxies;
    private final RandomGenerator random;
    private final Taker taker;
    private List<Arrival> day = List.of();
    private long start;
    private int next;
    private int open;

    public OpenLoopClients(
            TestLoop loop, FakeProxies proxies, RandomGenerator random, Taker taker) {
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

    public int open() {
        return open;
    }

    private void step() {
        long now = loop.now();
        while (next < day.size() && start + day.get(next).at() <= now) {
            Arrival rpc = day.get(next++);
            open++;
            send(rpc, start + rpc.at(), 1);
        }
        if (next < day.size()) {
            loop.after(start + day.get(next).at() - loop.now(), this::step);
        }
    }

    /**
     * The front layer spreads over the zone's proxies; it passes over dead ones once it has
     * noticed.
     */
    private FakeProxy proxy(Arrival rpc) {
        if (rpc.hot() != null && proxies.proxy(rpc.hot()).up()) {
            return proxies.proxy(rpc.hot());
        }
        List<String> near = proxies.names(rpc.zone());
        FakeProxy first = proxies.proxy(near.get((int) (rpc.place() * near.size())));
        if (first.up() || random.nextInt(4) == 0) {
            return first;
        }
        List<FakeProxy> alive =
                proxies.names().stream().map(proxies::proxy).filter(FakeProxy::up).toList();
        return alive.isEmpty() ? first : alive.get(random.nextInt(alive.size()));
    }

    private void send(Arrival rpc, long due, int tries) {
        long deadline = due + rpc.method().deadline();
        long until =
                Math.min(deadline, loop.now() + (long) (rpc.method().deadline() * rpc.patience()));
        proxy(rpc)
                .rpc(
                        rpc,
                        until,
                        result -> {
                            long now = loop.now();
                            boolean repeats =
                                    rpc.method().effect() == SiteDefinition.Effect.IDEMPOTENT
                                            || result == FakeProxy.Result.PUSHED_BACK
                                            || result == FakeProxy.Result.UNREACHABLE;
                            if (result != FakeProxy.Result.OK
                                    && repeats
                                    && tries <= rpc.retries()
                                    && now + rpc.retryWait() < deadline) {
                                loop.after(rpc.retryWait(), () -> send(rpc, due, tries + 1));
                            } else {
                                open--;
                                taker.ended(rpc, result, now - due, tries);
                            }
                        });
    }
}
