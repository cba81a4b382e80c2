package rosespread.resp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rosespread.codec.MessageParser;

/**
 * An incremental parser of RESP2 arrays of bulk strings. The stream may be cut at any byte.
 *
 * <p>Nothing else of RESP is accepted: no null, no empty or nested array, no other type, no inline
 * command. Memory grows with the bytes received, never by a length that was only announced.
 *
 * <p>Not thread-safe; belongs to the I/O thread of its session.
 */
public final class RespParser implements MessageParser {
    /** What the next byte belongs to. */
    private enum State {
        ARRAY_TYPE,
        ARRAY_LENGTH,
        STRING_TYPE,
        STRING_LENGTH,
        STRING_BYTES,
        STRING_CR,
        STRING_LF
    }

    /** No length within any limits has more digits, and none of so many overflows an int. */
    private static final int MAX_DIGITS = 9;

    private static final int INITIAL_STRING_CAPACITY = 32;

    /** A buffer that a longer string made grow is not kept for the next one. */
    private static final int MAX_KEPT_STRING_BYTES = 1024;

    private final Consumer<List<String>> messageConsumer;
    private RespLimits limits;
    private State state = State.ARRAY_TYPE;

    /** The offset in the stream of the byte that is taken next. */
    private long offset;

    private long messageOffset;
    private int length;
    private int lengthDigits;
    private boolean lengthCrSeen;
    private int expectedStrings;
    private int remainingBytes;
    private List<String> message = new ArrayList<>();
    private ByteArrayOutputStream string = new ByteArrayOutputStream(INITIAL_STRING_CAPACITY);

    /**
     * A parser at the start of a stream.
     *
     * @param limits the limits of a message until {@link #setLimits} gives others
     * @param messageConsumer called with each complete message, on the thread of {@link #feed}
     */
    public RespParser(RespLimits limits, Consumer<List<String>> messageConsumer) {
        this.limits = limits;
        this.messageConsumer = messageConsumer;
    }

    /** Changes the limits from the next byte on, such as once a peer has identified itself. */
    public void setLimits(RespLimits limits) {
        this.limits = limits;
    }

    /**
     * Parses all bytes that remain in the buffer.
     *
     * @throws RespException if they are malformed or a message passes its limits; nothing more may
     *     be fed after that
     */
    @Override
    public void feed(ByteBuffer in) throws RespException {
        while (in.hasRemaining()) {
            if (state == State.STRING_BYTES) {
                takeStringBytes(in);
            } else {
                takeByte(in.get());
                offset++;
            }
        }
    }

    private void takeByte(byte b) throws RespException {
        switch (state) {
            case ARRAY_TYPE -> {
                messageOffset = offset;
                takeType(b, '*', State.ARRAY_LENGTH);
            }
            case STRING_TYPE -> takeType(b, '$', State.STRING_LENGTH);
            case ARRAY_LENGTH, STRING_LENGTH -> takeLengthByte(b);
            case STRING_CR -> {
                expect(b, '\r');
                state = State.STRING_LF;
            }
            case STRING_LF -> {
                expect(b, '\n');
                finishString();
            }
            default -> throw new IllegalStateException(state.name());
        }
    }

    private void takeType(byte b, char type, State next) throws RespException {
        expect(b, type);
        length = 0;
        lengthDigits = 0;
        lengthCrSeen = false;
        state = next;
    }

    private void expect(byte b, char expected) throws RespException {
        if (b != expected) {
            throw new RespException(offset, name(expected) + " expected, not byte " + (b & 0xFF));
        }
    }

    private static String name(char expected) {
        return switch (expected) {
            case '\r' -> "CR";
            case '\n' -> "LF";
            default -> "'" + expected + "'";
        };
    }

    private void takeLengthByte(byte b) throws RespException {
        if (lengthCrSeen) {
            expect(b, '\n');
            finishLength();
        } else if (b == '\r' && lengthDigits > 0) {
            lengthCrSeen = true;
        } else if (b >= '0' && b <= '9' && lengthDigits < MAX_DIGITS) {
            length = length * 10 + (b - '0');
            lengthDigits++;
        } else {
            throw new RespException(offset, "not a length of at most " + MAX_DIGITS + " digits");
        }
    }

    private void finishLength() throws RespException {
        if (state == State.ARRAY_LENGTH) {
            finishArrayLength();
        } else {
            finishStringLength();
        }
    }

    private void finishArrayLength() throws RespException {
        if (length < 1 || length > limits.maxStrings()) {
            throw new RespException(offset, length + " strings, not 1 to " + limits.maxStrings());
        }
        expectedStrings = length;
        state = State.STRING_TYPE;
    }

    private void finishStringLength() throws RespException {
        if (offset - messageOffset + length > limits.maxBytes()) {
            throw new RespException(offset, "message over " + limits.maxBytes() + " bytes");
        }
        remainingBytes = length;
        state = remainingBytes == 0 ? State.STRING_CR : State.STRING_BYTES;
    }

    private void takeStringBytes(ByteBuffer in) {
        int count = Math.min(remainingBytes, in.remaining());
        byte[] part = new byte[count];
        in.get(part);
        string.writeBytes(part);
        offset += count;
        remainingBytes -= count;
        if (remainingBytes == 0) {
            state = State.STRING_CR;
        }
    }

    private void finishString() {
        message.add(string.toString(StandardCharsets.UTF_8));
        if (string.size() > MAX_KEPT_STRING_BYTES) {
            string = new ByteArrayOutputStream(INITIAL_STRING_CAPACITY);
        } else {
            string.reset();
        }
        state = State.STRING_TYPE;
        if (message.size() == expectedStrings) {
            finishMessage();
        }
    }

    private void finishMessage() {
        List<String> complete = message;
        message = new ArrayList<>();
        state = State.ARRAY_TYPE;
        messageConsumer.accept(complete);
    }
}
