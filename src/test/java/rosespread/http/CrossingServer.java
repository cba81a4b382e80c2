package rosespread.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Answers one call on each connection, keeps it open, and resets it once the next call has come on
 * it, so that the end and the call always cross.
 */
public final class CrossingServer implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger crossed = new AtomicInteger();

    /**
     * @param bodies of the answers in turn; the last again and again
     */
    public CrossingServer(String... bodies) throws IOException {
        Thread thread = new Thread(() -> serve(bodies), "crossing");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(String... bodies) {
        while (!socket.isClosed()) {
            try (Socket peer = socket.accept()) {
                readCall(peer);
                String body = bodies[Math.min(answered.get(), bodies.length - 1)];
                peer.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\ncontent-length: "
                                                + body.length()
                                                + "\r\n\r\n"
                                                + body)
                                        .getBytes(StandardCharsets.US_ASCII));
                answered.incrementAndGet();
                readCall(peer);
                peer.setSoLinger(true, 0);
                crossed.incrementAndGet();
            } catch (IOException e) {
                // The peer is gone, or the test is over: the next one, or none.
            }
        }
    }

    private static void readCall(Socket peer) throws IOException {
        int ends = 0;
        for (int b = peer.getInputStream().read(); ends < 4; b = peer.getInputStream().read()) {
            if (b < 0) {
                throw new IOException("the peer closed");
            }
            ends = b == (ends % 2 == 0 ? '\r' : '\n') ? ends + 1 : 0;
            if (ends == 4) {
                return;
            }
        }
    }

    public InetSocketAddress at() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    public int answered() {
        return answered.get();
    }

    /** How many calls came on a connection that was then reset without an answer. */
    public int crossed() {
        return crossed.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
