package rosespread.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;

/**
 * Follows a service in Consul's health catalogue by blocking queries. The index only rises: an
 * answer that is older than what is known is not believed until such answers have come for a stated
 * time (the list has then begun anew). A query that fails, or is silent past its wait, tells that
 * the list is unavailable; what was known stays.
 */
public final class NodeListClient implements AutoCloseable {
    /** Called on I/O and timer threads; must not block. */
    public interface Listener {
        void nodeListReceived(List<ListedNode> nodes);

        void nodeListUnavailable(String why);
    }

    /** Waits between tries after failures, in nanoseconds, doubled up to the most, with jitter. */
    private static final long FIRST_WAIT = 100_000_000L, MOST_WAIT = 2_000_000_000L;

    private final HttpClient http;
    private final InetSocketAddress server;
    private final String path;
    private final String agent;
    private final long wait;
    private final long silentAfter;
    private final long backwardsAfter;
    private final boolean onDemand;
    private final ScheduledExecutorService timer;
    private final LongSupplier clock;
    private final RandomGenerator random;
    private final Listener follower;
    private boolean following;
    private boolean closed;
    private long index;
    private int failures;
    private long backwardsSince = Long.MIN_VALUE;

    /**
     * @param agent who asks, as the list's operators see it
     * @param onDemand after a failure, whether to wait for {@link #start} instead of going on by
     *     itself
     */
    public NodeListClient(
            HttpClient http,
            InetSocketAddress server,
            String service,
            String agent,
            long wait,
            long silentAfter,
            long backwardsAfter,
            boolean onDemand,
            ScheduledExecutorService timer,
            LongSupplier clock,
            RandomGenerator random,
            Listener follower) {
        this.http = http;
        this.server = server;
        this.path = "/v1/health/service/" + service;
        this.agent = agent;
        this.wait = wait;
        this.silentAfter = silentAfter;
        this.backwardsAfter = backwardsAfter;
        this.onDemand = onDemand;
        this.timer = timer;
        this.clock = clock;
        this.random = random;
        this.follower = follower;
    }

    /** Begins to follow; nothing happens if it does already. */
    public synchronized void start() {
        if (!following && !closed) {
            following = true;
            ask();
        }
    }

    @Override
    public synchronized void close() {
        closed = true;
    }

    private void ask() {
        boolean blocking = index > 0 && backwardsSince == Long.MIN_VALUE;
        String query =
                blocking
                        ? "?index=" + index + "&wait=" + TimeUnit.NANOSECONDS.toMillis(wait) + "ms"
                        : "";
        HttpMessage.Request call =
                new HttpMessage.Request(
                        "GET",
                        path + query,
                        HttpHeaders.of(
                                "host",
                                server.getHostString() + ":" + server.getPort(),
                                "user-agent",
                                agent),
                        new byte[0]);
        // Consul adds up to a sixteenth of the wait, so that clients do not come back all at once.
        long patience = (blocking ? wait + wait / 16 : 0) + silentAfter;
        http.call(
                server,
                call,
                patience,
                new HttpClient.ResponseHandler() {
                    @Override
                    public void onResponse(HttpMessage.Response answer) {
                        take(answer);
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure, String detail) {
                        NodeListClient.this.failed(failure + ": " + detail);
                    }
                });
    }

    private synchronized void take(HttpMessage.Response answer) {
        if (closed) {
            return;
        }
        if (answer.status() != 200) {
            failed("status " + answer.status());
            return;
        }
        String told = answer.headers().first("x-consul-index").orElse("");
        if (!told.matches("[0-9]{1,18}") || Long.parseLong(told) == 0) {
            failed("X-Consul-Index is \"" + told + "\", not a whole number over 0");
            return;
        }
        List<ListedNode> nodes;
        try {
            nodes = CatalogReader.read(answer.text());
        } catch (NodeListException e) {
            failed(e.getMessage());
            return;
        }
        long next = Long.parseLong(told);
        long now = clock.getAsLong();
        if (next < index) {
            backwardsSince = backwardsSince == Long.MIN_VALUE ? now : backwardsSince;
            if (now - backwardsSince < backwardsAfter) {
                failed("index " + next + " is older than " + index + ", which is known");
                return;
            }
        }
        backwardsSince = Long.MIN_VALUE;
        failures = 0;
        boolean news = next != index;
        index = next;
        if (news) {
            follower.nodeListReceived(nodes);
        }
        ask();
    }

    private synchronized void failed(String why) {
        if (closed) {
            return;
        }
        follower.nodeListUnavailable(why);
        long pause = Math.min(MOST_WAIT, FIRST_WAIT << Math.min(failures, 10));
        failures++;
        following = false;
        if (!onDemand) {
            timer.schedule(this::start, pause / 2 + random.nextLong(pause), TimeUnit.NANOSECONDS);
        }
    }
}
