package rosespread.controller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.List;
import rosespread.channel.Frame;
import rosespread.channel.FrameException;
import rosespread.channel.FrameReader;
import rosespread.channel.FrameWriter;

/** The proxy's end of the channel, on a plain socket. */
final class ChannelClient {
    static final byte[] HELLO = FrameWriter.bytes(new Frame.Hello(Frame.VERSION, "p", List.of()));

    private static final int BUFFER_BYTES = 4096;

    private final Socket socket;
    private final ArrayDeque<Frame> received = new ArrayDeque<>();
    private final FrameReader reader = new FrameReader(1 << 20, received::add);

    ChannelClient(InetSocketAddress address, int timeoutMillis) throws IOException {
        socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
    }

    Socket socket() {
        return socket;
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    void send(Frame frame) throws IOException {
        write(FrameWriter.bytes(frame));
    }

    /** Writes byte by byte, so that each byte may arrive separately. */
    void writeByteByByte(byte[] bytes) throws IOException {
        for (byte b : bytes) {
            socket.getOutputStream().write(b);
        }
    }

    /** Sends Hello and Join. */
    ChannelClient join(String name) throws IOException {
        write(HELLO);
        send(new Frame.Join(name, "a", 1));
        return this;
    }

    /** Reads the next Mark and acknowledges it. */
    void acknowledgeNext() throws IOException, FrameException {
        send(new Frame.Installed(await(Frame.Mark.class).number()));
    }

    /**
     * Reads up to the next frame of this type and answers keep-alives; returns null at the end of
     * the stream.
     */
    <T extends Frame> T await(Class<T> type) throws IOException, FrameException {
        byte[] buffer = new byte[BUFFER_BYTES];
        InputStream in = socket.getInputStream();
        while (true) {
            while (!received.isEmpty()) {
                Frame frame = received.removeFirst();
                if (frame instanceof Frame.KeepAlive keepAlive) {
                    send(new Frame.KeepAlive(keepAlive.number(), true));
                }
                if (type.isInstance(frame)) {
                    return type.cast(frame);
                }
            }
            int count = in.read(buffer);
            if (count < 0) {
                return null;
            }
            reader.feed(ByteBuffer.wrap(buffer, 0, count));
        }
    }
}
