package rosespread.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that answers one request on each connection, keeps the connection open, and resets it
 * once the next request has arrived, so that the client always loses that request.
 */
public final class ConnectionResetServer implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final AtomicInteger responseCount = new AtomicInteger();
    private final AtomicInteger resetCount = new AtomicInteger();

    /**
     * @param bodies the bodies of the responses in turn; the last one is repeated
     */
    public ConnectionResetServer(String... bodies) throws IOException {
        Thread thread = new Thread(() -> serve(bodies), "connection-reset-server");
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
                // The peer closed the connection, or the test closed the server.
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

    /** The number of requests whose connection was reset without a response. */
    public int resetCount() {
        return resetCount.get();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
