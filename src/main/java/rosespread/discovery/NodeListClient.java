package rosespread.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;

/**
 * Follows the nodes of a service in Consul's health catalogue by blocking queries, one at a time.
 *
 * <p>A query that fails, times out, or brings a malformed or stale list is reported as
 * "unavailable" and repeated after a backoff; the last good list stays valid. See {@link
 * CatalogIndex} for what stale means.
 *
 * <p>Thread-safe: all state is guarded by this object's lock.
 */
public final class NodeListClient implements AutoCloseable {
    /**
     * Takes the lists. Called on I/O and timer threads, one call at a time and with the client's
     * lock held, so that no call comes after {@link #close} has returned; must not block.
     */
    public interface Listener {
        /** A list with another index than the last one, which it replaces. */
        void nodeListReceived(List<ListedNode> nodes);

        /**
         * A query failed; the last list stays valid.
         *
         * @param reason one line for an operator
         */
        void nodeListUnavailable(String reason);
    }

    private static final long MIN_BACKOFF_NANOS = 100_000_000L;
    private static final long MAX_BACKOFF_NANOS = 2_000_000_000L;

    /** Keeps the shift of the backoff in range; the maximum is reached before. */
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    /** Consul adds up to a sixteenth of the wait, so that clients do not all return at once. */
    private static final int CONSUL_JITTER_DIVISOR = 16;

    private static final int STATUS_OK = 200;

    private final HttpClient http;
    private final InetSocketAddress server;
    private final String path;
    private final String userAgent;
    private final long blockingWaitNanos;
    private final long responseTimeoutNanos;
    private final boolean onDemand;
    private final ScheduledExecutorService timer;
    private final LongSupplier clock;
    private final RandomGenerator random;
    private final Listener listener;
    private final CatalogIndex index;
    private boolean running;
    private boolean closed;
    private int consecutiveFailures;

    /**
     * A client that does nothing until {@link #start}.
     *
     * @param server the address of Consul's HTTP API
     * @param service the name of the service
     * @param userAgent the user agent of the queries
     * @param blockingWaitNanos how long a query may block for a change
     * @param responseTimeoutNanos how long a response may take beyond that
     * @param indexRollbackGraceNanos how long responses must be older than the known list until
     *     they are taken as a catalogue that was set up again
     * @param onDemand whether to stop after a failure until {@link #start} is called again, instead
     *     of retrying
     * @param timer runs the retries
     * @param clock nanoseconds of any origin
     * @param random draws the jitter of the backoff
     */
    public NodeListClient(
            HttpClient http,
            InetSocketAddress server,
            String service,
            String userAgent,
            long blockingWaitNanos,
            long responseTimeoutNanos,
            long indexRollbackGraceNanos,
            boolean onDemand,
            ScheduledExecutorService timer,
            LongSupplier clock,
            RandomGenerator random,
            Listener listener) {
        this.http = http;
        this.server = server;
        this.path = "/v1/health/service/" + service;
        this.userAgent = userAgent;
        this.blockingWaitNanos = blockingWaitNanos;
        this.responseTimeoutNanos = responseTimeoutNanos;
        this.onDemand = onDemand;
        this.timer = timer;
        this.clock = clock;
        this.random = random;
        this.listener = listener;
        this.index = new CatalogIndex(indexRollbackGraceNanos);
    }

    /**
     * Starts to follow the list; does nothing if it is followed already or the client is closed.
     */
    public synchronized void start() {
        if (!running && !closed) {
            running = true;
            sendQuery();
        }
    }

    /** Stops for good; the listener is not called any more. A query in flight is ignored. */
    @Override
    public synchronized void close() {
        closed = true;
    }

    private void sendQuery() {
        boolean blocking = index.mayBlock();
        http.call(
                server,
                request(blocking),
                timeoutNanos(blocking),
                new HttpClient.ResponseHandler() {
                    @Override
                    public void onResponse(HttpMessage.Response response) {
                        handleResponse(response);
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure, String detail) {
                        handleFailure(failure + ": " + detail);
                    }
                });
    }

    private HttpMessage.Request request(boolean blocking) {
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(blockingWaitNanos);
        String query = blocking ? "?index=" + index.value() + "&wait=" + waitMillis + "ms" : "";
        String host = server.getHostString() + ":" + server.getPort();
        HttpHeaders headers = HttpHeaders.of("host", host, "user-agent", userAgent);
        return new HttpMessage.Request("GET", path + query, headers, new byte[0]);
    }

    private long timeoutNanos(boolean blocking) {
        long maxWaitNanos = blockingWaitNanos + blockingWaitNanos / CONSUL_JITTER_DIVISOR;
        return (blocking ? maxWaitNanos : 0) + responseTimeoutNanos;
    }

    private synchronized void handleResponse(HttpMessage.Response response) {
        if (closed) {
            return;
        }
        if (response.status() != STATUS_OK) {
            handleFailure("status " + response.status());
            return;
        }
        String header = response.headers().first("x-consul-index").orElse("");
        OptionalLong next = CatalogIndex.parse(header);
        if (next.isEmpty()) {
            handleFailure("X-Consul-Index is \"" + header + "\", not a whole number over 0");
            return;
        }
        List<ListedNode> nodes;
        try {
            nodes = CatalogReader.read(response.text());
        } catch (NodeListException e) {
            handleFailure(e.getMessage());
            return;
        }
        handleList(next.getAsLong(), nodes);
    }

    private void handleList(long next, List<ListedNode> nodes) {
        long known = index.value();
        CatalogIndex.Change change = index.advance(next, clock.getAsLong());
        if (change == CatalogIndex.Change.STALE) {
            handleFailure("index " + next + " is older than " + known + ", which is known");
            return;
        }
        consecutiveFailures = 0;
        if (change == CatalogIndex.Change.CHANGED) {
            listener.nodeListReceived(nodes);
        }
        sendQuery();
    }

    private synchronized void handleFailure(String reason) {
        if (closed) {
            return;
        }
        listener.nodeListUnavailable(reason);
        long backoffNanos = backoffNanos();
        consecutiveFailures++;
        running = false;
        if (!onDemand) {
            long jitteredNanos = backoffNanos / 2 + random.nextLong(backoffNanos);
            timer.schedule(this::start, jitteredNanos, TimeUnit.NANOSECONDS);
        }
    }

    private long backoffNanos() {
        int doublings = Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
        return Math.min(MAX_BACKOFF_NANOS, MIN_BACKOFF_NANOS << doublings);
    }
}
