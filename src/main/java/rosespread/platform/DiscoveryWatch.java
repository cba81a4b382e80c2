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
 * Follows discovery: the full list first, then a watch (a long poll for changes) that is renewed as
 * soon as it is answered, straight from the I/O thread. A poll that fails, times out or brings no
 * valid list is retried with backoff and jitter; whoever listens keeps the list meanwhile.
 *
 * <p>State is guarded by the monitor, as I/O, timer and signal threads meet here.
 */
final class DiscoveryWatch implements AutoCloseable {
    /** Takes what discovery brings, on I/O and timer threads; must not block. */
    interface Listener {
        /** A full list, or the entries that changed since the list before. */
        void listReceived(NodeList list);

        /** A poll failed, for this reason; the next one follows by itself. */
        void listUnavailable(String reason);
    }

    private static final String FULL_LIST_PATH = "/api/targets";
    private static final int OK = 200;

    /** How long a watch may last there: short, so that a silent connection is noticed soon. */
    private static final long WATCH_MILLIS = 1_000;

    /** How long an answer may take, beyond the watch's time. */
    private static final long ANSWER_TIMEOUT_MILLIS = 700;

    private static final long MIN_BACKOFF_NANOS = 20_000_000L;
    private static final long MAX_BACKOFF_NANOS = 320_000_000L;
    private static final int MAX_DOUBLINGS = 4;

    /**
     * For so long a list older than the last one is rejected; after that its source must have
     * restarted.
     */
    private static final long OLDER_REJECTED_NANOS = 1_000_000_000L;

    private static final long NO_VERSION = -1;

    private final HttpClient http;
    private final ScheduledExecutorService timer;
    private final RandomGenerator random;
    private final Listener listener;
    private InetSocketAddress address;

    /** What the next watch asks for changes since; negative for the full list. */
    private long watchedVersion = NO_VERSION;

    /** The version of the list accepted last, whatever is asked for next. */
    private long acceptedVersion = NO_VERSION;

    /** Since when only older lists came. */
    private OptionalLong olderSinceNanos = OptionalLong.empty();

    private int failures;
    private boolean closed;
    private Poll current;

    /**
     * Prepares a watch; it starts with {@link #follow}.
     *
     * @param timer runs retries
     * @param random draws the jitter of retries
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

    /** Follows discovery at this address from now on; a poll elsewhere is cancelled. */
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

    /** One poll; its outcome counts only while it is the current one. */
    private final class Poll implements HttpClient.ResponseHandler {
        private Runnable cancel = () -> {};

        @Override
        public void onResponse(HttpMessage.Response answer) {
            if (answer.status() != OK) {
                failed("status " + answer.status());
                return;
            }
            try {
                accept(this, NodeList.parse(answer.body()));
            } catch (ConfigException | RuntimeException | StackOverflowError e) {
                // Whatever an answer does to its parser, the next poll follows: else nobody would
                // ever poll again.
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
     * A list that is older than the accepted one would undo newer changes, as an agent that was
     * moved to may be behind: it is rejected, and the full list asked for.
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
        return "version " + version + " is older than the accepted " + acceptedVersion;
    }

    private boolean sourceRestarted() {
        long now = System.nanoTime();
        olderSinceNanos = OptionalLong.of(olderSinceNanos.orElse(now));
        return now - olderSinceNanos.getAsLong() > OLDER_REJECTED_NANOS;
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
        InetSocketAddress polled = address;
        timer.schedule(
                () -> retry(polled), pause / 2 + random.nextLong(pause), TimeUnit.NANOSECONDS);
    }

    private synchronized void retry(InetSocketAddress polled) {
        if (current == null && polled.equals(address)) {
            poll();
        }
    }
}
