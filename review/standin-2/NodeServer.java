package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A node: answers one byte to each request of one byte; counts the requests. A node whose machine
 * is switched off says nothing: connections stay open and get no answer.
 */
final class NodeServer {
    final String name;
    final String zone;
    final int port;
    final AtomicLong requests = new AtomicLong();
    private final ServerSocket server;
    private final List<Socket> silentConnections = new ArrayList<>();
    private volatile boolean switchedOff;

    NodeServer(String name, String zone) throws IOException {
        this.name = name;
        this.zone = zone;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        port = server.getLocalPort();
        Thread thread = new Thread(this::run, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                if (switchedOff) {
                    silentConnections.add(socket);
                } else {
                    answer(socket);
                }
            } catch (IOException e) {
                // The client went away.
            }
        }
    }

    private void answer(Socket socket) throws IOException {
        try (socket) {
            socket.setSoTimeout(1000);
            if (socket.getInputStream().read() >= 0) {
                requests.incrementAndGet();
                socket.getOutputStream().write('y');
            }
        }
    }

    /** Switches the node's machine off. */
    void switchOff() {
        switchedOff = true;
    }
}
