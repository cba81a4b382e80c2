package rosespread.channel;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;

/**
 * Encodes frames. A frame for several proxies is encoded once and the proxies share the bytes, so
 * the bytes must not be modified. Stateless and thread-safe.
 */
public final class FrameWriter {
    private static final int INITIAL_CAPACITY = 64;
    private static final int NO_FLAGS = 0;

    private FrameWriter() {}

    /** Writes the fields of one frame. */
    @FunctionalInterface
    private interface Body {
        void writeTo(DataOutputStream out) throws IOException;
    }

    /**
     * Encodes a frame with its length field. A text over {@value FrameLimits#MAX_TEXT_BYTES} bytes
     * of UTF-8 is truncated after a whole character.
     */
    public static byte[] bytes(Frame frame) {
        if (frame instanceof Frame.Hello hello) {
            return encode(FrameType.HELLO, out -> FrameBodyWriter.hello(out, hello));
        } else if (frame instanceof Frame.Join join) {
            return encode(FrameType.JOIN, out -> FrameBodyWriter.join(out, join));
        } else if (frame instanceof Frame.Node node) {
            return encode(FrameType.NODE, out -> FrameBodyWriter.node(out, node));
        } else if (frame instanceof Frame.Bind bind) {
            return encode(FrameType.BIND, out -> FrameBodyWriter.bind(out, bind));
        } else if (frame instanceof Frame.Lines lines) {
            return encode(FrameType.LINES, out -> FrameBodyWriter.lines(out, lines));
        } else if (frame instanceof Frame.Missed missed) {
            return encode(FrameType.MISSED, out -> FrameBodyWriter.missed(out, missed));
        } else if (frame instanceof Frame.Withdraw withdraw) {
            return encode(FrameType.WITHDRAW, out -> FrameBodyWriter.withdraw(out, withdraw));
        } else if (frame instanceof Frame.Levels levels) {
            return encode(FrameType.LEVELS, out -> FrameBodyWriter.levels(out, levels));
        } else if (frame instanceof Frame.Mark mark) {
            return encode(FrameType.MARK, out -> FrameBodyWriter.mark(out, mark));
        } else if (frame instanceof Frame.Installed installed) {
            return encode(FrameType.INSTALLED, out -> out.writeLong(installed.number()));
        } else if (frame instanceof Frame.Sums sums) {
            return encode(FrameType.SUMS, out -> FrameBodyWriter.sums(out, sums));
        } else if (frame instanceof Frame.Offered offered) {
            return encode(FrameType.OFFERED, out -> FrameBodyWriter.offered(out, offered));
        } else if (frame instanceof Frame.KeepAlive keepAlive) {
            return encode(FrameType.KEEP_ALIVE, out -> FrameBodyWriter.keepAlive(out, keepAlive));
        } else if (frame instanceof Frame.Close close) {
            return encode(FrameType.CLOSE, out -> FrameBodyWriter.close(out, close));
        }
        throw new IllegalArgumentException(frame.toString());
    }

    /**
     * Compresses concatenated whole frames into one packed frame. The Zstandard library must be
     * {@linkplain FrameCompression#isAvailable available}.
     */
    public static byte[] packed(byte[] frames) {
        byte[] compressed = FrameCompression.compress(frames);
        return encode(
                FrameType.PACKED,
                out -> {
                    out.writeInt(frames.length);
                    out.write(compressed);
                });
    }

    private static byte[] encode(FrameType type, Body body) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_CAPACITY);
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(0); // Placeholder for the length.
            out.writeByte(type.code());
            out.writeByte(NO_FLAGS);
            body.writeTo(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        byte[] frame = bytes.toByteArray();
        ByteBuffer.wrap(frame).putInt(0, frame.length - Integer.BYTES);
        return frame;
    }
}
