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

/** A client's end of one connection to the controller: all that it receives is kept. */
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

    /** Sends one message of these words, separated by blanks. */
    void send(String words) throws IOException {
        sendBytes(RespWriter.encode(List.of(words.split(" "))));
    }

    /** Sends these bytes; a connection that the controller has closed already takes none. */
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

    /** The first message with all these words in a row, once it is there. */
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
