package rosespread.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosespread.eventloop.EventQueue;

class StreamServerTest {
    private static final byte[] HEARTBEATS =
            "*1\r\n$2\r\nhb\r\n".repeat(1000).getBytes(StandardCharsets.US_ASCII);
    private static final byte[] MALFORMED_JOIN =
            "*2\r\n$6\r\nattach\r\n$4\r\nnode\r\n".getBytes(StandardCharsets.US_ASCII);
    private final PlatformConfig config = PlatformFixture.config();
    private final PlatformMetrics metrics = new PlatformMetrics();
    private StreamServer server;
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws IOException {
        PlatformState state = new PlatformState(config, (node, entry) -> {}, metrics, 0);
        server =
                new StreamServer(
                        new EventQueue(),
                        state,
                        new MessageReader(config.names(), config.proxies()),
                        metrics,
                        100);
        address = server.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    }

    @AfterEach
    void close() {
        server.close();
    }

    /**
     * It leaves replies unread until its socket takes no more, so that its rejection is queued too.
     */
    @Test
    void rejectedPeerThatReadsNothingIsClosedAllTheSame() throws IOException {
        try (Socket peer = new Socket()) {
            peer.setReceiveBufferSize(2048);
            peer.connect(address);
            await().pollDelay(Duration.ZERO)
                    .pollInterval(Duration.ofMillis(5))
                    .until(
                            () -> {
                                peer.getOutputStream().write(HEARTBEATS);
                                return server.maxWriteBufferBytes() > 20_000;
                            });
            peer.getOutputStream().write(MALFORMED_JOIN);
            await().until(() -> metrics.count(PlatformMetrics.ConnectionEvent.REJECTED) == 1);
            assertEquals(1, server.openConnections());
            server.closeOverdue(System.nanoTime() + 2_000_000_000L);
            await().until(() -> server.openConnections() == 0);
        }
    }
}
