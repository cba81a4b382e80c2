package rosespread.resp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import rosespread.codec.MessageParser;

/**
 * An incremental parser of RESP2 arrays of bulk strings. The stream may be split at any byte.
 *
 * <p>Nothing else of RESP is accepted: no null, no empty or nested array, no other type, no inline
 * command. Memory use grows with the bytes received, never with an announced length.
 *
 * <p>Not thread-safe; used only on its session's I/O thread.
 */
public final class RespParser implements MessageParser {
    /** The element that the next byte belongs to. */
    private enum State {
        ARRAY_TYPE,
        ARRAY_LENGTH,
        STRING_TYPE,
        STRING_LENGTH,
        STRING_BYTES,
        STRING_CR,
        STRING_LF
    }

    /** Enough digits for a length within any limits, and too few to overflow an int. */
    private static final int MAX_DIGITS = 9;

    private static final int INITIAL_STRING_CAPACITY = 32;

    /** Memory that a string of a message needs besides its bytes. */
    private static final int STRING_OVERHEAD_BYTES = 64;

    /** Longest string whose buffer is reused; a longer one has made its buffer grow. */
    private static final int MAX_KEPT_STRING_BYTES = 1024;

    private final Consumer<List<String>> messageConsumer;
    private RespLimits limits;
    private State state = State.ARRAY_TYPE;

    /** Offset in the stream of the next byte to parse. */
    private long offset;

    private long messageOffset;
    private int length;
    private int lengthDigits;
    private boolean lengthCrSeen;
    private int expectedStrings;
    private int remainingBytes;

    /** Memory that the complete strings of the current message need. */
    private int messageBytes;

    private List<String> message = new ArrayList<>();
    private ByteArrayOutputStream string = new ByteArrayOutputStream(INITIAL_STRING_CAPACITY);

    /**
     * Creates a parser for the start of a stream.
     *
     * @param limits the limits on a message until {@link #setLimits} changes them
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
     * @throws RespException if the bytes are malformed or a message exceeds its limits; the parser
     *     must not be fed again after that
     */
    @Override
    public void feed(ByteBuffer in) throws RespException {
        while (in.hasRemaining()) {
            if (state == State.STRING_BYTES) {
                copyStringBytes(in);
            } else {
                parseByte(in.get());
                offset++;
            }
        }
    }

    @Override
    public int heldBytes() {
        return messageBytes + 2 * string.size();
    }

    private void parseByte(byte b) throws RespException {
        switch (state) {
            case ARRAY_TYPE -> {
                messageOffset = offset;
                parseType(b, '*', State.ARRAY_LENGTH);
            }
            case STRING_TYPE -> parseType(b, '$', State.STRING_LENGTH);
            case ARRAY_LENGTH, STRING_LENGTH -> parseLengthByte(b);
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

    private void parseType(byte b, char type, State next) throws RespException {
        expect(b, type);
        length = 0;
        lengthDigits = 0;
        lengthCrSeen = false;
        state = next;
    }

    private void expect(byte b, char expected) throws RespException {
        if (b != expected) {
            throw new RespException(
                    offset, "expected " + describe(expected) + ", found byte value " + (b & 0xFF));
        }
    }

    private static String describe(char expected) {
        return switch (expected) {
            case '\r' -> "CR";
            case '\n' -> "LF";
            default -> "'" + expected + "'";
        };
    }

    private void parseLengthByte(byte b) throws RespException {
        if (lengthCrSeen) {
            expect(b, '\n');
            finishLength();
        } else if (b == '\r' && lengthDigits > 0) {
            lengthCrSeen = true;
        } else if (b >= '0' && b <= '9' && lengthDigits < MAX_DIGITS) {
            length = length * 10 + (b - '0');
            lengthDigits++;
        } else {
            throw new RespException(
                    offset,
                    "expected a length of 1 to "
                            + MAX_DIGITS
                            + " digits and CR, found byte value "
                            + (b & 0xFF));
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
            throw new RespException(
                    offset, "expected 1 to " + limits.maxStrings() + " strings, found " + length);
        }
        expectedStrings = length;
        state = State.STRING_TYPE;
    }

    private void finishStringLength() throws RespException {
        if (offset - messageOffset + length > limits.maxBytes()) {
            throw new RespException(
                    offset,
                    "message exceeds "
                            + limits.maxBytes()
                            + " bytes with a string of "
                            + length
                            + " bytes");
        }
        remainingBytes = length;
        state = remainingBytes == 0 ? State.STRING_CR : State.STRING_BYTES;
    }

    private void copyStringBytes(ByteBuffer in) {
        int count = Math.min(remainingBytes, in.remaining());
        byte[] bytes = new byte[count];
        in.get(bytes);
        string.writeBytes(bytes);
        offset += count;
        remainingBytes -= count;
        if (remainingBytes == 0) {
            state = State.STRING_CR;
        }
    }

    private void finishString() {
        message.add(string.toString(StandardCharsets.UTF_8));
        messageBytes += STRING_OVERHEAD_BYTES + string.size();
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
        messageBytes = 0;
        state = State.ARRAY_TYPE;
        messageConsumer.accept(complete);
    }
}
