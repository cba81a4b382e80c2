package rosespread.controller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import rosespread.drain.Drain;
import rosespread.http.HttpClient;
import rosespread.http.HttpHeaders;
import rosespread.http.HttpMessage;

/**
 * Polls the other controllers for drains that operators ordered there: at the start, since a
 * controller that was down may have missed a drain, and at a fixed interval.
 *
 * <p>Thread-safe. The listener is called on I/O threads.
 */
final class PeerDrainPoller {
    private static final Logger LOG = LoggerFactory.getLogger(PeerDrainPoller.class);
    private static final long REQUEST_TIMEOUT_NANOS = 1_000_000_000L;
    private static final long INTERVAL_MILLIS = 2_000;
    private static final String PATH = "/v1/drains";
    private static final int STATUS_OK = 200;

    private final HttpClient http;
    private final Consumer<List<Drain>> listener;
    private volatile List<InetSocketAddress> peers = List.of();

    /**
     * @param listener receives the drains of a peer; not called for a peer without drains
     */
    PeerDrainPoller(
            HttpClient http, ScheduledExecutorService timer, Consumer<List<Drain>> listener) {
        this.http = http;
        this.listener = listener;
        timer.scheduleWithFixedDelay(
                () -> poll(0), INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Sets the control addresses of the peers. */
    void setPeers(List<InetSocketAddress> addresses) {
        peers = addresses;
    }

    /**
     * Polls all peers.
     *
     * @param timeoutNanos the maximum time to wait for responses, in nanoseconds; 0 to return
     *     without waiting
     */
    void poll(long timeoutNanos) {
        List<InetSocketAddress> polled = peers;
        CountDownLatch pending = new CountDownLatch(polled.size());
        polled.forEach(peer -> request(peer, pending));
        if (timeoutNanos > 0) {
            await(pending, polled.size(), timeoutNanos);
        }
    }

    private void request(InetSocketAddress peer, CountDownLatch pending) {
        HttpMessage.Request request =
                new HttpMessage.Request(
                        "GET",
                        PATH,
                        HttpHeaders.of("host", peer.getHostString() + ":" + peer.getPort()),
                        new byte[0]);
        http.call(
                peer,
                request,
                REQUEST_TIMEOUT_NANOS,
                new HttpClient.ResponseHandler() {
                    @Override
                    public void onResponse(HttpMessage.Response response) {
                        if (response.status() == STATUS_OK) {
                            read(peer, response);
                        }
                        pending.countDown();
                    }

                    @Override
                    public void onFailure(HttpClient.Failure failure, String detail) {
                        pending.countDown();
                    }
                });
    }

    private static void await(CountDownLatch pending, int peers, long timeoutNanos) {
        try {
            if (!pending.await(timeoutNanos, TimeUnit.NANOSECONDS)) {
                LOG.atWarn()
                        .addKeyValue("count", pending.getCount())
                        .addKeyValue("peers", peers)
                        .log("peers did not return their drains in time");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void read(InetSocketAddress peer, HttpMessage.Response response) {
        try {
            List<Drain> drains = DrainJson.read(response.body());
            if (!drains.isEmpty()) {
                listener.accept(drains);
            }
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("remote", peer)
                    .addKeyValue("reason", e.getMessage())
                    .log("peer returned malformed drains");
        }
    }
}
