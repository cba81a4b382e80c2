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
 * Follows discovery: the whole list first, then a watch that is asked for anew as soon as it is
 * answered, from the I/O thread, so that it goes on. A call that fails, is silent past its wait or
 * brings what is no list is made again soon; the list that is held stays.
 */
final class DiscoveryWatch implements AutoCloseable {
    /** Called on I/O and timer threads; must not block. */
    interface Ears {
        void list(TargetList list);

        void unavailable(String why);
    }

    /**
     * How long a watch may wait there: short, so that a connection gone silent is soon seen to be.
     */
    private static final long WAIT_MILLIS = 1_000;

    /** What an answer may take beyond that. */
    private static final long SILENT_MILLIS = 700;

    /** Pauses after failures, doubled up to the most, with jitter. */
    private static final long FIRST_PAUSE = 20_000_000L;

    private static final long MOST_PAUSE = 320_000_000L;
    private static final int MOST_DOUBLINGS = 4;

    /**
     * For so long a list older than the one held is not taken; after that its source has begun
     * anew.
     */
    private static final long OLDER_NANOS = 1_000_000_000L;

    private final HttpClient http;
    private final ScheduledExecutorService timer;
    private final RandomGenerator random;
    private final Ears ears;
    private InetSocketAddress at;
    private long version = -1;

    /**
     * The version of what was taken last, whatever is asked next; and since when only older ones
     * came.
     */
    private long taken = -1;

    private OptionalLong olderSince = OptionalLong.empty();
    private int failures;
    private boolean closed;
    private Call open;

    DiscoveryWatch(
            HttpClient http, ScheduledExecutorService timer, RandomGenerator random, Ears ears) {
        this.http = http;
        this.timer = timer;
        this.random = random;
        this.ears = ears;
    }

    /** Follows discovery there from now on; what was asked elsewhere is given up. */
    synchronized void follow(InetSocketAddress address) {
        at = address;
        version = -1;
        failures = 0;
        olderSince = OptionalLong.empty();
        Call old = open;
        open = null;
        if (old != null) {
            old.cancel.run();
        }
        ask();
    }

    @Override
    public synchronized void close() {
        closed = true;
    }

    private void ask() {
        if (closed) {
            return;
        }
        boolean whole = version < 0;
        String target =
                whole
                        ? "/api/targets"
                        : "/api/targets?since=" + version + "&timeout_ms=" + WAIT_MILLIS;
        HttpMessage.Request call =
                new HttpMessage.Request(
                        "GET",
                        target,
                        HttpHeaders.of("host", at.getHostString() + ":" + at.getPort()),
                        new byte[0]);
        long millis = SILENT_MILLIS + (whole ? 0 : WAIT_MILLIS);
        Call next = new Call();
        open = next;
        next.cancel = http.call(at, call, TimeUnit.MILLISECONDS.toNanos(millis), next);
    }

    /** One call; what comes of it after another has been made is not heard. */
    private final class Call implements HttpClient.ResponseHandler {
        private Runnable cancel = () -> {};

        @Override
        public void onResponse(HttpMessage.Response answer) {
            if (answer.status() != 200) {
                failed("status " + answer.status());
                return;
            }
            try {
                take(this, TargetList.parse(answer.body()));
            } catch (ConfigException | RuntimeException | StackOverflowError e) {
                // Whatever an answer does to its reader, the next call is made: else nobody would
                // ask again.
                failed(String.valueOf(e.getMessage()));
            }
        }

        @Override
        public void onFailure(HttpClient.Failure failure, String detail) {
            failed(failure + ": " + detail);
        }

        private void failed(String why) {
            DiscoveryWatch.this.failed(this, why);
        }
    }

    /**
     * A version that went back leaves it unknown what is held, so all is asked for. What is older
     * than the list held is not taken, as it would undo what was told since: an agent that was
     * moved to may be behind.
     */
    private synchronized void take(Call call, TargetList list) {
        if (call != open || closed) {
            return;
        }
        if (list.version() < taken && !(list.full() && begunAnew())) {
            version = -1;
            failed(
                    call,
                    "version " + list.version() + " is older than " + taken + ", which is held");
            return;
        }
        failures = 0;
        olderSince = OptionalLong.empty();
        taken = list.version();
        version = taken;
        ask();
        ears.list(list);
    }

    private boolean begunAnew() {
        long now = System.nanoTime();
        olderSince = OptionalLong.of(olderSince.orElse(now));
        return now - olderSince.getAsLong() > OLDER_NANOS;
    }

    private synchronized void failed(Call call, String why) {
        if (call != open || closed) {
            return;
        }
        open = null;
        long pause = Math.min(MOST_PAUSE, FIRST_PAUSE << Math.min(failures, MOST_DOUBLINGS));
        failures++;
        ears.unavailable(why);
        InetSocketAddress asked = at;
        timer.schedule(
                () -> again(asked), pause / 2 + random.nextLong(pause), TimeUnit.NANOSECONDS);
    }

    private synchronized void again(InetSocketAddress asked) {
        if (open == null && asked.equals(at)) {
            ask();
        }
    }
}
