package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The way from an operator to one control address. While it is cut it is silent in both directions;
 * what was sent arrives once the cut has ended, also if the client has gone by then, as the
 * network's retransmissions have it.
 */
final class DelayProxy {
    final int port;
    private final int target;
    private final ServerSocket server;
    private volatile long silentUntilNanos = System.nanoTime();

    DelayProxy(int target) throws IOException {
        this.target = target;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        port = server.getLocalPort();
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "way");
        thread.setDaemon(true);
        thread.start();
    }

    /** Cuts the way for this long from now on. */
    void cut(long millis) {
        silentUntilNanos = System.nanoTime() + millis * 1_000_000L;
    }

    private void accept() {
        while (true) {
            try {
                Socket client = server.accept();
                Socket controller = new Socket("127.0.0.1", target);
                start(() -> copy(client, controller));
                start(() -> copy(controller, client));
            } catch (IOException e) {
                // The controller is down: the client's connection stays silent.
            }
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[8192];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitEnd();
                out.write(buffer, 0, count);
                out.flush();
            }
            awaitEnd();
        } catch (IOException e) {
            // One end has gone; what it had sent before is with the other end.
        }
    }

    private void awaitEnd() {
        long waitNanos = silentUntilNanos - System.nanoTime();
        while (waitNanos > 0) {
            try {
                Thread.sleep(waitNanos / 1_000_000L + 1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            waitNanos = silentUntilNanos - System.nanoTime();
        }
    }
}
