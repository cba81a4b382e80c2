package rosespread.platform;

import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import rosespread.config.ConfigException;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;

/**
 * Passes discovery's node list and its changes to a listener: requests the full list first, then a
 * watch (a long poll for changes), which the I/O thread renews as soon as discovery answers. A poll
 * that fails, times out or returns an invalid list is retried with backoff and jitter; the listener
 * keeps its list meanwhile.
 *
 * <p>I/O, timer and signal threads call it; its state is guarded by its monitor.
 */
final class DiscoveryWatch implements AutoCloseable {
    /** Receives the results of polls on I/O and timer threads; must not block. */
    interface Listener {
        /** A full list, or the entries that changed since the previous list. */
        void listReceived(NodeList list);

        /** A poll failed for this reason; the watch retries by itself. */
        void listUnavailable(String reason);
    }

    private static final String FULL_LIST_PATH = "/api/targets";
    private static final int OK = 200;

    /**
     * Maximum time after which discovery answers a watch without changes; short, so that a
     * connection without answers is noticed soon, within this time and {@link
     * #ANSWER_TIMEOUT_MILLIS}.
     */
    private static final long WATCH_MILLIS = 1_000;

    /** Timeout of a poll's answer, to which a watch adds {@link #WATCH_MILLIS}. */
    private static final long ANSWER_TIMEOUT_MILLIS = 700;

    private static final long MIN_BACKOFF_NANOS = 20_000_000L;
    private static final long MAX_BACKOFF_NANOS = 320_000_000L;
    private static final int MAX_DOUBLINGS = 4;

    /**
     * Time, from the first older full list on, for which full lists older than the last accepted
     * list are rejected. An older full list that is received later is accepted, as discovery must
     * have restarted.
     */
    private static final long OLDER_LIST_REJECTION_NANOS = 1_000_000_000L;

    private static final long NO_VERSION = -1;

    private final HttpClient http;
    private final ScheduledExecutorService timer;
    private final RandomGenerator random;
    private final Listener listener;
    private InetSocketAddress address;

    /** Version since which the next watch asks for changes; negative for the full list. */
    private long watchedVersion = NO_VERSION;

    /** Version of the last accepted list; stays when the full list is requested again. */
    private long acceptedVersion = NO_VERSION;

    /**
     * When the first older full list was received since the last accepted list; empty if none was.
     */
    private OptionalLong olderSinceNanos = OptionalLong.empty();

    private int failures;
    private boolean closed;
    private Poll current;

    /**
     * Creates a watch; {@link #follow} starts it.
     *
     * @param timer runs retries
     * @param random supplies the jitter of retries
     */
    DiscoveryWatch(
            HttpClient http,
            ScheduledExecutorService timer,
            RandomGenerator random,
            Listener listener) {
        this.http = http;
        this.timer = timer;
        this.random = random;
        this.listener = listener;
    }

    /** Polls discovery at this address from now on; cancels the current poll. */
    synchronized void follow(InetSocketAddress next) {
        address = next;
        watchedVersion = NO_VERSION;
        failures = 0;
        olderSinceNanos = OptionalLong.empty();
        Poll previous = current;
        current = null;
        if (previous != null) {
            previous.cancel.run();
        }
        poll();
    }

    @Override
    public synchronized void close() {
        closed = true;
    }

    private void poll() {
        if (closed) {
            return;
        }
        boolean full = watchedVersion < 0;
        long timeoutMillis = ANSWER_TIMEOUT_MILLIS + (full ? 0 : WATCH_MILLIS);
        Poll next = new Poll();
        current = next;
        next.cancel =
                http.call(
                        address,
                        request(full ? FULL_LIST_PATH : watchPath()),
                        TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
                        next);
    }

    private String watchPath() {
        return FULL_LIST_PATH + "?since=" + watchedVersion + "&timeout_ms=" + WATCH_MILLIS;
    }

    private HttpMessage.Request request(String path) {
        String host = address.getHostString() + ":" + address.getPort();
        return new HttpMessage.Request("GET", path, HttpHeaders.of("host", host), new byte[0]);
    }

    /** One poll; its outcome is ignored unless it is the current poll. */
    private final class Poll implements HttpClient.ResponseHandler {
        private Runnable cancel = () -> {};

        @Override
        public void onResponse(HttpMessage.Response answer) {
            if (answer.status() != OK) {
                failed("HTTP status " + answer.status() + ", expected " + OK);
                return;
            }
            try {
                accept(this, NodeList.parse(answer.body()));
            } catch (ConfigException | RuntimeException | StackOverflowError e) {
                // An answer that crashes the parser, even by a stack overflow, counts as a failed
                // poll; otherwise no further poll would be scheduled.
                failed(String.valueOf(e.getMessage()));
            }
        }

        @Override
        public void onFailure(HttpClient.Failure failure, String detail) {
            failed(failure + ": " + detail);
        }

        private void failed(String reason) {
            DiscoveryWatch.this.failed(this, reason);
        }
    }

    /**
     * Accepts a list. A list older than the accepted one is rejected and the full list requested:
     * after a change of address, the discovery agent at the new address may lag behind, and its
     * list would undo newer changes.
     */
    private synchronized void accept(Poll poll, NodeList list) {
        if (poll != current || closed) {
            return;
        }
        if (list.version() < acceptedVersion && !(list.full() && sourceRestarted())) {
            watchedVersion = NO_VERSION;
            failed(poll, olderThanAccepted(list.version()));
            return;
        }
        failures = 0;
        olderSinceNanos = OptionalLong.empty();
        acceptedVersion = list.version();
        watchedVersion = acceptedVersion;
        poll();
        listener.listReceived(list);
    }

    private String olderThanAccepted(long version) {
        return "list version " + version + " is older than accepted version " + acceptedVersion;
    }

    private boolean sourceRestarted() {
        long now = System.nanoTime();
        olderSinceNanos = OptionalLong.of(olderSinceNanos.orElse(now));
        return now - olderSinceNanos.getAsLong() > OLDER_LIST_REJECTION_NANOS;
    }

    private synchronized void failed(Poll poll, String reason) {
        if (poll != current || closed) {
            return;
        }
        current = null;
        long backoff = MIN_BACKOFF_NANOS << Math.min(failures, MAX_DOUBLINGS);
        long pause = Math.min(MAX_BACKOFF_NANOS, backoff);
        failures++;
        listener.listUnavailable(reason);
        InetSocketAddress polledAddress = address;
        timer.schedule(
                () -> retry(polledAddress),
                pause / 2 + random.nextLong(pause),
                TimeUnit.NANOSECONDS);
    }

    private synchronized void retry(InetSocketAddress polledAddress) {
        if (current == null && polledAddress.equals(address)) {
            poll();
        }
    }
}
