package rosespread.platform;

import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import rosespread.resp.RespException;
import rosespread.resp.RespLimits;
import rosespread.resp.RespParser;
import rosespread.resp.RespWriter;

/** One connection to the conductor: all that it brings is kept. */
final class FakePeer {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    final List<List<String>> received = new CopyOnWriteArrayList<>();
    final Socket socket;
    volatile boolean ended;

    FakePeer(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        Thread thread = new Thread(this::read, "peer");
        thread.setDaemon(true);
        thread.start();
    }

    private void read() {
        RespParser parser = new RespParser(new RespLimits(1 << 20, 256), received::add);
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

    void send(String words) throws IOException {
        sendBytes(RespWriter.bytes(List.of(words.split(" "))));
    }

    void sendBytes(byte[] bytes) throws IOException {
        try {
            socket.getOutputStream().write(bytes);
        } catch (SocketException e) {
            ended = true;
        }
    }

    /** The first message with all these words in a row, once it is there. */
    List<String> awaitMessage(String words) {
        await().atMost(TIMEOUT)
                .until(() -> received.stream().anyMatch(m -> joined(m).contains(words)));
        return received.stream().filter(m -> joined(m).contains(words)).findFirst().orElseThrow();
    }

    private static String joined(List<String> words) {
        return String.join(" ", words);
    }

    int tokenOf(List<String> message) {
        return Integer.parseInt(message.get(message.indexOf("ticket") + 1));
    }
}
