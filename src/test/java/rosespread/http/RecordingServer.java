package rosespread.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A socket server that records the text of each request, with the server's port replaced by PORT,
 * and sends one prepared response for each. Requests beyond the prepared responses are recorded but
 * not answered.
 */
public final class RecordingServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<String> responses;

    public RecordingServer(String... responses) throws IOException {
        this.responses = List.of(responses);
        start(this::accept);
    }

    /** A response with status 200, an extra header line (which may be empty) and a JSON body. */
    public static String json(String header, String body) {
        return "HTTP/1.1 200 OK\r\n"
                + header
                + "content-type: application/json\r\ncontent-length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", server.getLocalPort());
    }

    public List<String> requests() {
        return requests;
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "recording-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                start(() -> serve(socket));
            }
        } catch (SocketException e) {
            // The server was closed.
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void serve(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            StringBuilder text = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                text.append((char) next);
                if (text.indexOf("\r\n\r\n") >= 0) {
                    respond(socket, text.toString());
                    text.setLength(0);
                }
            }
        } catch (SocketException e) {
            // The connection was closed.
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private synchronized void respond(Socket socket, String request) throws IOException {
        requests.add(request.replace(":" + server.getLocalPort(), ":PORT"));
        if (requests.size() <= responses.size()) {
            socket.getOutputStream()
                    .write(
                            responses
                                    .get(requests.size() - 1)
                                    .getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
