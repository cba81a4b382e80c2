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
 * Asks other conductors for operators' words on nodes: at a start before proxies can dial, as a
 * conductor that was down may have missed a drain, and every few seconds after.
 */
final class PeerDrains {
    private static final Logger LOG = LoggerFactory.getLogger(PeerDrains.class);
    private static final long TIMEOUT = 1_000_000_000L;
    private static final long EVERY_MILLIS = 2_000;

    private final HttpClient http;
    private final Consumer<List<Drain>> ears;
    private volatile List<InetSocketAddress> peers = List.of();

    PeerDrains(HttpClient http, ScheduledExecutorService timer, Consumer<List<Drain>> ears) {
        this.http = http;
        this.ears = ears;
        timer.scheduleWithFixedDelay(
                () -> pull(0), EVERY_MILLIS, EVERY_MILLIS, TimeUnit.MILLISECONDS);
    }

    void follow(List<InetSocketAddress> next) {
        peers = next;
    }

    /** Asks all; waits so many nanoseconds for their answers. */
    void pull(long nanos) {
        List<InetSocketAddress> all = peers;
        CountDownLatch open = new CountDownLatch(all.size());
        for (InetSocketAddress peer : all) {
            http.call(
                    peer,
                    new HttpMessage.Request(
                            "GET",
                            "/v1/drains",
                            HttpHeaders.of("host", peer.getHostString() + ":" + peer.getPort()),
                            new byte[0]),
                    TIMEOUT,
                    new HttpClient.ResponseHandler() {
                        @Override
                        public void onResponse(HttpMessage.Response answer) {
                            if (answer.status() == 200) {
                                take(peer, answer);
                            }
                            open.countDown();
                        }

                        @Override
                        public void onFailure(HttpClient.Failure failure, String detail) {
                            open.countDown();
                        }
                    });
        }
        try {
            if (nanos > 0 && !open.await(nanos, TimeUnit.NANOSECONDS)) {
                LOG.warn(
                        "{} of {} peers did not tell their drains in time",
                        open.getCount(),
                        all.size());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void take(InetSocketAddress peer, HttpMessage.Response answer) {
        try {
            List<Drain> words = DrainJson.read(answer.body());
            if (!words.isEmpty()) {
                ears.accept(words);
            }
        } catch (IOException e) {
            LOG.warn("peer {} told drains that cannot be read: {}", peer, e.getMessage());
        }
    }
}
