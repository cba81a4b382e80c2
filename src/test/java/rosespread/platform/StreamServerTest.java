package rosespread.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import rosespread.eventloop.EventQueue;

class StreamServerTest {
    private static final byte[] HEARTBEATS =
            "*1\r\n$2\r\nhb\r\n".repeat(1000).getBytes(StandardCharsets.US_ASCII);
    private static final byte[] MALFORMED_JOIN =
            "*2\r\n$6\r\nattach\r\n$4\r\nnode\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final long QUEUED_REPLY_BYTES = 20_000;
    private static final long PAUSE_NANOS = 5_000_000;
    private static final int MAX_PEERS = 5;
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

    /** A rejection that is queued behind unread replies must not keep the connection open. */
    @Test
    void closesRejectedPeerThatReadsNothing() throws IOException {
        Socket peer = connectRejectedPeer();
        try {
            assertEquals(1, server.openConnections());
            server.closeOverdue(System.nanoTime() + 2_000_000_000L);
            await().until(() -> server.openConnections() == 0);
        } finally {
            peer.close();
        }
    }

    /**
     * Connects a peer that reads no replies and is rejected once its socket accepts no more of
     * them. A server that lags by several batches of heartbeats closes the peer for its unread
     * replies before it reads the malformed join; in that case, the next peer is tried.
     */
    private Socket connectRejectedPeer() throws IOException {
        for (int attempt = 0; attempt < MAX_PEERS; attempt++) {
            Socket peer = connect();
            if (sendUntilRejected(peer)) {
                return peer;
            }
            peer.close();
        }
        return fail(MAX_PEERS + " peers were closed for unread replies, none was rejected");
    }

    private Socket connect() throws IOException {
        Socket peer = new Socket();
        peer.setReceiveBufferSize(2048);
        peer.connect(address);
        await().until(() -> server.openConnections() == 1);
        return peer;
    }

    /** Returns false if the server closed the connection before it read the malformed join. */
    private boolean sendUntilRejected(Socket peer) {
        try {
            fillWriteBuffer(peer);
            peer.getOutputStream().write(MALFORMED_JOIN);
        } catch (IOException closedByServer) {
            await().until(() -> server.openConnections() == 0);
            return false;
        }
        await().until(() -> rejections() == 1 || server.openConnections() == 0);
        return rejections() == 1;
    }

    private void fillWriteBuffer(Socket peer) throws IOException {
        while (server.maxWriteBufferBytes() <= QUEUED_REPLY_BYTES) {
            peer.getOutputStream().write(HEARTBEATS);
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }

    private long rejections() {
        return metrics.count(PlatformMetrics.ConnectionEvent.REJECTED);
    }
}
