package rosespread.channel;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.Consumer;
import rosespread.codec.MessageParser;

/**
 * Reads frames from a byte stream that may be split between any two bytes. The reader holds at most
 * one frame, in a buffer that grows with the bytes received and not with the announced length.
 * Malformed bytes cause a {@link FrameException} and no other exception.
 *
 * <p>Not thread-safe: a reader belongs to the I/O thread of its session.
 */
public final class FrameReader implements MessageParser {
    /** Longest frame, in bytes without the length field, that a controller accepts. */
    public static final int MAX_BYTES_FROM_PROXY = 1 << 20;

    /** Longest frame, in bytes without the length field, that a proxy accepts. */
    public static final int MAX_BYTES_FROM_CONTROLLER = 1 << 20;

    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final int MIN_FRAME_BYTES = 2;
    private static final int INITIAL_CAPACITY = 256;
    private static final int LENGTH_UNKNOWN = -1;

    private final int maxFrameBytes;
    private final int maxUnpackedBytes;
    private final Consumer<Frame> out;
    private final FieldReader fields = new FieldReader();
    private final FrameBodyReader bodyReader = new FrameBodyReader(fields);

    /** The bytes received of the length field or, once the length is known, of the frame. */
    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_CAPACITY);

    /** The current frame's length in bytes, or {@link #LENGTH_UNKNOWN}. */
    private int length = LENGTH_UNKNOWN;

    /** The stream offset of the end of the last complete length field or frame. */
    private long offset;

    /** Creates a reader that rejects packed frames. */
    public FrameReader(int maxFrameBytes, Consumer<Frame> out) {
        this(maxFrameBytes, 0, out);
    }

    /**
     * Creates a reader.
     *
     * @param maxFrameBytes longest frame, in bytes without the length field
     * @param maxUnpackedBytes largest content of a packed frame, in bytes; 0 to reject packed
     *     frames
     * @param out receives each frame, on the thread that calls {@link #feed}
     */
    public FrameReader(int maxFrameBytes, int maxUnpackedBytes, Consumer<Frame> out) {
        this.maxFrameBytes = maxFrameBytes;
        this.maxUnpackedBytes = maxUnpackedBytes;
        this.out = out;
    }

    /** {@inheritDoc} This is the capacity of the buffer for an incomplete frame. */
    @Override
    public int heldBytes() {
        return buffer.capacity();
    }

    /**
     * {@inheritDoc}
     *
     * @throws FrameException if the bytes violate the protocol
     */
    @Override
    public void feed(ByteBuffer in) throws FrameException {
        while (in.hasRemaining()) {
            int expected = length == LENGTH_UNKNOWN ? LENGTH_BYTES : length;
            copyToBuffer(in, Math.min(expected - buffer.position(), in.remaining()));
            if (buffer.position() < expected) {
                return;
            }
            if (length == LENGTH_UNKNOWN) {
                readLength();
            } else {
                readFrame();
            }
        }
    }

    private void copyToBuffer(ByteBuffer in, int count) {
        if (buffer.remaining() < count) {
            int doubled = Math.min(length, buffer.capacity() * 2);
            int capacity = Math.max(buffer.position() + count, doubled);
            buffer = ByteBuffer.allocate(capacity).put(buffer.flip());
        }
        buffer.put(in.slice().limit(count));
        in.position(in.position() + count);
    }

    private void readLength() throws FrameException {
        length = buffer.getInt(0);
        if (length < MIN_FRAME_BYTES || length > maxFrameBytes) {
            // The reported offset also counts the bytes that were read of the previous frame. The
            // peer receives this text unchanged in a Close frame.
            throw new FrameException(
                    offset + fields.position(),
                    "frame of "
                            + Integer.toUnsignedString(length)
                            + " bytes, expected "
                            + MIN_FRAME_BYTES
                            + " to "
                            + maxFrameBytes);
        }
        offset += LENGTH_BYTES;
        buffer.clear();
    }

    private void readFrame() throws FrameException {
        fields.start(buffer.flip(), offset);
        dispatch();
        offset += length;
        length = LENGTH_UNKNOWN;
        boolean hasGrown = buffer.capacity() > INITIAL_CAPACITY;
        buffer = hasGrown ? ByteBuffer.allocate(INITIAL_CAPACITY) : buffer.clear();
    }

    private void dispatch() throws FrameException {
        int code = fields.u8();
        int flags = fields.u8();
        FrameType type = FrameType.of(code);
        if (type == null) {
            if ((flags & FrameType.OPTIONAL_FLAG) == 0) {
                throw fields.error("frame type " + code + " is unknown and not optional");
            }
        } else if (type == FrameType.PACKED) {
            unpack();
        } else {
            out.accept(bodyReader.read(type));
        }
    }

    /**
     * Reads the frames in a packed frame. Fails if the announced length exceeds the limit, before
     * memory is allocated, or if it differs from the length of the content.
     */
    private void unpack() throws FrameException {
        int unpackedBytes = fields.count("unpacked bytes");
        if (unpackedBytes > maxUnpackedBytes) {
            throw fields.error(
                    maxUnpackedBytes == 0
                            ? "packed frame found where none is accepted"
                            : "packed frame of "
                                    + unpackedBytes
                                    + " unpacked bytes, expected at most "
                                    + maxUnpackedBytes);
        }
        Optional<byte[]> frames = FrameCompression.decompress(fields.rest(), unpackedBytes);
        if (frames.isEmpty()) {
            throw fields.error(
                    "packed frame does not unpack to its announced length of "
                            + unpackedBytes
                            + " bytes");
        }
        FrameReader inner = new FrameReader(maxFrameBytes, out);
        try {
            inner.feed(ByteBuffer.wrap(frames.get()));
        } catch (FrameException e) {
            throw fields.error("in a packed frame: " + e.getMessage());
        }
        if (inner.isWithinFrame()) {
            throw fields.error("content of a packed frame ends within a frame");
        }
    }

    private boolean isWithinFrame() {
        return length != LENGTH_UNKNOWN || buffer.position() > 0;
    }
}
