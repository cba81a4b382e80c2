package rosespread.channel;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import rosespread.api.MethodId;
import rosespread.api.NodeId;
import rosespread.api.TableId;

/**
 * Reads the fields of a frame and checks each against the protocol. Errors name the field and the
 * byte offset in the stream. One reader serves all frames of a stream; not thread-safe.
 */
final class FieldReader {
    private static final int MICROS_TO_NANOS = 1000;

    private ByteBuffer frame = ByteBuffer.allocate(0);
    private long frameOffset;

    /**
     * Starts reading a frame.
     *
     * @param frame the frame from its type byte on, without the length field
     * @param offset the stream offset of the type byte
     */
    void start(ByteBuffer frame, long offset) {
        this.frame = frame;
        this.frameOffset = offset;
    }

    /** The number of bytes read from the current frame. */
    int position() {
        return frame.position();
    }

    /** The number of bytes left to read in the current frame. */
    int remaining() {
        return frame.remaining();
    }

    /** Creates an error at the current position; does not throw it. */
    FrameException error(String message) {
        return new FrameException(frameOffset + frame.position(), message);
    }

    /** Fails unless at least {@code bytes} bytes of the frame remain. */
    void require(int bytes, String fieldName) throws FrameException {
        if (frame.remaining() < bytes) {
            throw error(
                    fieldName
                            + ": expected "
                            + bytes
                            + " bytes, found "
                            + frame.remaining()
                            + " before the end of the frame");
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

    /** Reads 32 bits without a check of their value. */
    int bits32(String fieldName) throws FrameException {
        require(Integer.BYTES, fieldName);
        return frame.getInt();
    }

    long i64() throws FrameException {
        require(Long.BYTES, "a number");
        return frame.getLong();
    }

    /** Reads all bytes that are left in the frame. */
    byte[] rest() {
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        return bytes;
    }

    /** Reads an unsigned 32-bit number; fails if it exceeds {@link Integer#MAX_VALUE}. */
    int count(String fieldName) throws FrameException {
        int value = bits32(fieldName);
        if (value < 0) {
            throw error(fieldName + " " + value + " is negative");
        }
        return value;
    }

    /** Checks the number of entries of an array before memory is allocated for them. */
    int entryCount(int count, int bytesEach, String fieldName) throws FrameException {
        if (count < 0 || count > FrameLimits.MAX_ENTRIES) {
            throw error(count + " " + fieldName + ", expected at most " + FrameLimits.MAX_ENTRIES);
        }
        require(count * bytesEach, fieldName);
        return count;
    }

    /** Reads a duration in microseconds; fails if it is negative or overflows in nanoseconds. */
    long micros(String fieldName) throws FrameException {
        long micros = i64();
        if (micros < 0 || micros > Long.MAX_VALUE / MICROS_TO_NANOS) {
            throw error(
                    fieldName
                            + " is "
                            + micros
                            + " us, expected 0 to "
                            + Long.MAX_VALUE / MICROS_TO_NANOS
                            + " us");
        }
        return micros;
    }

    boolean flag(String fieldName) throws FrameException {
        int value = u8();
        if (value > 1) {
            throw error(fieldName + " is " + value + ", expected 0 or 1");
        }
        return value == 1;
    }

    /** Reads a number of at least 0; infinity is allowed, NaN is not. */
    double nonNegative(String fieldName) throws FrameException {
        return nonNegative(fieldName, false);
    }

    /** Reads a number of at least 0, or NaN, which means not measured. */
    double nonNegativeOrNaN(String fieldName) throws FrameException {
        return nonNegative(fieldName, true);
    }

    private double nonNegative(String fieldName, boolean allowsNaN) throws FrameException {
        require(Double.BYTES, fieldName);
        double value = frame.getDouble();
        boolean isMissing = allowsNaN && Double.isNaN(value);
        if (!(value >= 0) && !isMissing) {
            throw error(fieldName + " is " + value + ", expected at least 0");
        }
        return value;
    }

    String text(String fieldName) throws FrameException {
        int length = u8();
        require(length, fieldName);
        ByteBuffer bytes = frame.slice().limit(length);
        frame.position(frame.position() + length);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(bytes).toString();
        } catch (CharacterCodingException e) {
            throw error(fieldName + " is not UTF-8");
        }
    }

    String nonEmptyText(String fieldName) throws FrameException {
        String text = text(fieldName);
        if (text.isEmpty()) {
            throw error(fieldName + " is empty");
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
            throw error("method is " + value + ", expected less than " + FrameLimits.MAX_METHODS);
        }
        return new MethodId(value);
    }
}
