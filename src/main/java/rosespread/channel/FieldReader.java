package rosespread.channel;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * Reads the fields of one frame after another, each checked against the protocol. Errors name the
 * field and the position in the stream. Reused for all frames of a stream; not thread-safe.
 */
final class FieldReader {
    private static final int MICROS_TO_NANOS = 1000;

    private ByteBuffer frame = ByteBuffer.allocate(0);
    private long frameOffset;

    /**
     * Starts to read a frame.
     *
     * @param frame the frame without its length field, from the type on
     * @param offset bytes of the stream before it
     */
    void start(ByteBuffer frame, long offset) {
        this.frame = frame;
        this.frameOffset = offset;
    }

    /** Bytes of the current frame that have been read. */
    int position() {
        return frame.position();
    }

    /** Bytes of the current frame that have not been read. */
    int remaining() {
        return frame.remaining();
    }

    /** An error at the current position. */
    FrameException error(String message) {
        return new FrameException(frameOffset + frame.position(), message);
    }

    /** Fails unless so many bytes of the frame remain. */
    void require(int bytes, String what) throws FrameException {
        if (frame.remaining() < bytes) {
            throw error(what + " is cut short by the frame's end");
        }
    }

    int u8() throws FrameException {
        require(Byte.BYTES, "a byte");
        return Byte.toUnsignedInt(frame.get());
    }

    int u16() throws FrameException {
        require(Short.BYTES, "a number");
        return Short.toUnsignedInt(frame.getShort());
    }

    /** 32 bits as they are. */
    int bits32(String what) throws FrameException {
        require(Integer.BYTES, what);
        return frame.getInt();
    }

    long i64() throws FrameException {
        require(Long.BYTES, "a number");
        return frame.getLong();
    }

    /** The rest of the frame. */
    byte[] rest() {
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        return bytes;
    }

    /** An unsigned number of 32 bits; those beyond {@link Integer#MAX_VALUE} are refused. */
    int count(String what) throws FrameException {
        int value = bits32(what);
        if (value < 0) {
            throw error(what + " " + value + " is negative");
        }
        return value;
    }

    /** Checks the number of entries of an array before any memory is taken for them. */
    int entryCount(int count, int bytesEach, String what) throws FrameException {
        if (count < 0 || count > FrameLimits.MAX_ENTRIES) {
            throw error(count + " " + what + "; at most " + FrameLimits.MAX_ENTRIES);
        }
        require(count * bytesEach, what);
        return count;
    }

    /** A span of time in microseconds that also fits into nanoseconds. */
    long micros(String what) throws FrameException {
        long micros = i64();
        if (micros < 0 || micros > Long.MAX_VALUE / MICROS_TO_NANOS) {
            throw error(what + " of " + micros + " us is out of bounds");
        }
        return micros;
    }

    boolean flag(String what) throws FrameException {
        int value = u8();
        if (value > 1) {
            throw error(what + " is " + value + ", not 0 or 1");
        }
        return value == 1;
    }

    /** A number that is not negative; infinity is allowed, NaN is not. */
    double measure(String what) throws FrameException {
        return measure(what, false);
    }

    /** A number that is not negative, or NaN if it was not measured. */
    double measureOrNaN(String what) throws FrameException {
        return measure(what, true);
    }

    private double measure(String what, boolean allowsNaN) throws FrameException {
        require(Double.BYTES, what);
        double value = frame.getDouble();
        boolean isMissing = allowsNaN && Double.isNaN(value);
        if (!(value >= 0) && !isMissing) {
            throw error(what + " is " + value);
        }
        return value;
    }

    String text(String what) throws FrameException {
        int length = u8();
        require(length, what);
        ByteBuffer bytes = frame.slice().limit(length);
        frame.position(frame.position() + length);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        } catch (CharacterCodingException e) {
            throw error(what + " is not UTF-8");
        }
    }

    String nonEmptyText(String what) throws FrameException {
        String text = text(what);
        if (text.isEmpty()) {
            throw error(what + " is empty");
        }
        return text;
    }

    NodeId node() throws FrameException {
        return new NodeId(i64());
    }

    TableId table() throws FrameException {
        return new TableId(u16());
    }

    MethodId method() throws FrameException {
        int value = u8();
        if (value >= FrameLimits.MAX_METHODS) {
            throw error("method " + value + "; below " + FrameLimits.MAX_METHODS);
        }
        return new MethodId(value);
    }
}
