package rosespread.platform;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import rosespread.resp.RespException;
import rosespread.resp.RespLimits;
import rosespread.resp.RespParser;
import rosespread.resp.RespWriter;

/** The client side of a connection to the controller; keeps all received messages. */
final class FakePeer implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final RespLimits LIMITS = new RespLimits(1 << 20, 256);

    private final List<List<String>> received = new CopyOnWriteArrayList<>();
    private final Socket socket;
    private volatile boolean ended;

    FakePeer(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        Thread thread = new Thread(this::read, "peer");
        thread.setDaemon(true);
        thread.start();
    }

    private void read() {
        RespParser parser = new RespParser(LIMITS, received::add);
        byte[] bytes = new byte[4096];
        try (InputStream in = socket.getInputStream()) {
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                parser.feed(ByteBuffer.wrap(bytes, 0, count));
            }
        } catch (IOException | RespException e) {
            received.add(List.of("broken", String.valueOf(e)));
        }
        ended = true;
    }

    /** Sends one message, given as its strings separated by blanks. */
    void send(String words) throws IOException {
        sendBytes(RespWriter.encode(List.of(words.split(" "))));
    }

    /**
     * Sends these bytes. If the controller has closed the connection, marks this peer as ended
     * instead of throwing.
     */
    void sendBytes(byte[] bytes) throws IOException {
        try {
            socket.getOutputStream().write(bytes);
        } catch (SocketException e) {
            ended = true;
        }
    }

    List<List<String>> received() {
        return Collections.unmodifiableList(received);
    }

    /** Whether the controller has closed the connection. */
    boolean isEnded() {
        return ended;
    }

    /** Waits for a message that contains these words in sequence; returns the first one. */
    List<String> awaitMessage(String words) {
        await().atMost(TIMEOUT).until(() -> find(words).isPresent());
        return find(words).orElseThrow();
    }

    private Optional<List<String>> find(String words) {
        return received.stream()
                .filter(message -> String.join(" ", message).contains(words))
                .findFirst();
    }

    /** The acknowledgement token of a message. */
    static int tokenOf(List<String> message) {
        return Integer.parseInt(message.get(message.indexOf("ticket") + 1));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
