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
 * Watches the nodes of a service in Consul's health catalog with blocking queries, one at a time.
 *
 * <p>A query that fails, times out, or returns a malformed or stale list is reported to the
 * listener as unavailable and, unless the client works on demand, retried after a backoff; the last
 * list stays valid. {@link CatalogIndex} defines when a list is stale.
 *
 * <p>Thread-safe: all state is guarded by this object's lock.
 */
public final class NodeListClient implements AutoCloseable {
    /**
     * Receives the lists. Its methods are called on I/O and timer threads, one call at a time. They
     * must not block. The client holds its lock during a call, so that there is no call after
     * {@link #close} has returned.
     */
    public interface Listener {
        /**
         * Called with a list whose index differs from that of the last one; it replaces the last
         * list.
         */
        void nodeListReceived(List<ListedNode> nodes);

        /**
         * Called after a failed query; the last list stays valid.
         *
         * @param reason one line for an operator
         */
        void nodeListUnavailable(String reason);
    }

    private static final long MIN_BACKOFF_NANOS = 100_000_000L;
    private static final long MAX_BACKOFF_NANOS = 2_000_000_000L;

    /**
     * Prevents an overflow of the backoff's shift; {@link #MAX_BACKOFF_NANOS} is reached earlier.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 10;

    /**
     * Consul extends the wait by up to 1/16 so that queries of several clients do not end together.
     */
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
     * Creates a client, which sends no query until {@link #start} is called.
     *
     * @param server the address of Consul's HTTP API
     * @param service the name of the service
     * @param userAgent the user-agent header of the queries
     * @param blockingWaitNanos how long a query may block until a change
     * @param responseTimeoutNanos how long a response may take in addition to the blocking wait
     * @param indexRollbackGraceNanos how long responses must be older than the known list before
     *     the client assumes that the catalog was recreated and accepts them
     * @param onDemand whether the client stops after a failure until {@link #start} is called
     *     again, instead of retrying
     * @param timer runs the retries
     * @param clock a clock in nanoseconds with an arbitrary origin
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

    /** Starts to watch the list; does nothing if the client is already running or closed. */
    public synchronized void start() {
        if (!running && !closed) {
            running = true;
            sendQuery();
        }
    }

    /**
     * Stops the client permanently; the listener is not called any more. The response of a query in
     * flight is ignored.
     */
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
            handleFailure("response has status " + response.status() + ", expected 200");
            return;
        }
        String header = response.headers().first("x-consul-index").orElse("");
        OptionalLong nextIndex = CatalogIndex.parse(header);
        if (nextIndex.isEmpty()) {
            handleFailure("X-Consul-Index is \"" + header + "\", expected a whole number above 0");
            return;
        }
        List<ListedNode> nodes;
        try {
            nodes = CatalogReader.read(response.text());
        } catch (NodeListException e) {
            handleFailure(e.getMessage());
            return;
        }
        handleList(nextIndex.getAsLong(), nodes);
    }

    private void handleList(long nextIndex, List<ListedNode> nodes) {
        long knownIndex = index.value();
        CatalogIndex.Change change = index.advance(nextIndex, clock.getAsLong());
        if (change == CatalogIndex.Change.STALE) {
            handleFailure("index " + nextIndex + " is older than the known index " + knownIndex);
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
