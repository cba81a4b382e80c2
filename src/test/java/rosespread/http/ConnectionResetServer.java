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
public final class ConnectionResetServer implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final AtomicInteger responseCount = new AtomicInteger();
    private final AtomicInteger resetCount = new AtomicInteger();

    /**
     * @param bodies of the answers in turn; the last again and again
     */
    public ConnectionResetServer(String... bodies) throws IOException {
        Thread thread = new Thread(() -> serve(bodies), "crossing");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(String... bodies) {
        while (!socket.isClosed()) {
            try (Socket peer = socket.accept()) {
                readRequest(peer);
                String body = bodies[Math.min(responseCount.get(), bodies.length - 1)];
                peer.getOutputStream()
                        .write(
                                ("HTTP/1.1 200 OK\r\ncontent-length: "
                                                + body.length()
                                                + "\r\n\r\n"
                                                + body)
                                        .getBytes(StandardCharsets.US_ASCII));
                responseCount.incrementAndGet();
                readRequest(peer);
                peer.setSoLinger(true, 0);
                resetCount.incrementAndGet();
            } catch (IOException e) {
                // The peer is gone, or the test is over: the next one, or none.
            }
        }
    }

    private static void readRequest(Socket peer) throws IOException {
        int matchedBytes = 0;
        for (int b = peer.getInputStream().read();
                matchedBytes < 4;
                b = peer.getInputStream().read()) {
            if (b < 0) {
                throw new IOException("the peer closed");
            }
            matchedBytes = b == (matchedBytes % 2 == 0 ? '\r' : '\n') ? matchedBytes + 1 : 0;
            if (matchedBytes == 4) {
                return;
            }
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    public int responseCount() {
        return responseCount.get();
    }

    /** How many calls came on a connection that was then reset without an answer. */
    public int resetCount() {
        return resetCount.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
