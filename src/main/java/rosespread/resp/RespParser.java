package rosespread.resp;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Parses a stream of RESP2 arrays of bulk strings (the Redis serialization protocol, version 2)
 * that may be cut at every byte. It takes nothing else of RESP: no null, no nested array, no inline
 * command. Memory is taken as bytes come, never by what a length promises.
 */
public final class RespParser {
    private enum State {
        ARRAY,
        COUNT,
        BULK,
        LENGTH,
        BYTES,
        RETURN,
        FEED
    }

    /** No number within the bounds has more digits. */
    private static final int MAX_DIGITS = 9;

    private final Consumer<List<String>> messageConsumer;
    private RespLimits limits;
    private State state = State.ARRAY;
    private long offset;
    private long messageStart;
    private int number;
    private int digits;
    private boolean carriageReturnSeen;
    private int expectedStrings;
    private int remainingBytes;
    private List<String> message = new ArrayList<>();
    private ByteArrayOutputStream string = new ByteArrayOutputStream(32);

    public RespParser(RespLimits limits, Consumer<List<String>> out) {
        this.limits = limits;
        this.messageConsumer = out;
    }

    /** Other bounds from now on, such as once a peer has said who it is. */
    public void setLimits(RespLimits next) {
        limits = next;
    }

    /** Takes all bytes of the buffer. After an error nothing more may be fed. */
    public void feed(ByteBuffer in) throws RespException {
        while (in.hasRemaining()) {
            if (state == State.BYTES) {
                takeBytes(in);
            } else {
                takeByte(in.get());
                offset++;
            }
        }
    }

    private void takeByte(byte b) throws RespException {
        switch (state) {
            case ARRAY -> {
                messageStart = offset;
                startLength(b, '*', State.COUNT);
            }
            case BULK -> startLength(b, '$', State.LENGTH);
            case COUNT, LENGTH -> takeLengthByte(b);
            case RETURN -> {
                expect(b, '\r');
                state = State.FEED;
            }
            case FEED -> {
                expect(b, '\n');
                stringComplete();
            }
            default -> throw new IllegalStateException(state.name());
        }
    }

    private void startLength(byte b, char mark, State next) throws RespException {
        expect(b, mark);
        number = 0;
        digits = 0;
        carriageReturnSeen = false;
        state = next;
    }

    private void expect(byte b, char wanted) throws RespException {
        if (b != wanted) {
            String name = wanted == '\r' ? "CR" : wanted == '\n' ? "LF" : "'" + wanted + "'";
            throw new RespException(offset, name + " expected, not byte " + (b & 0xFF));
        }
    }

    private void takeLengthByte(byte b) throws RespException {
        if (carriageReturnSeen) {
            expect(b, '\n');
            lengthComplete();
        } else if (b == '\r' && digits > 0) {
            carriageReturnSeen = true;
        } else if (b >= '0' && b <= '9' && digits < MAX_DIGITS) {
            number = number * 10 + (b - '0');
            digits++;
        } else {
            throw new RespException(offset, "not a length of at most " + MAX_DIGITS + " digits");
        }
    }

    private void lengthComplete() throws RespException {
        if (state == State.COUNT) {
            if (number < 1 || number > limits.maxStrings()) {
                throw new RespException(
                        offset, number + " strings, not 1 to " + limits.maxStrings());
            }
            expectedStrings = number;
            state = State.BULK;
            return;
        }
        if (offset - messageStart + number > limits.maxBytes()) {
            throw new RespException(offset, "message over " + limits.maxBytes() + " bytes");
        }
        remainingBytes = number;
        state = remainingBytes == 0 ? State.RETURN : State.BYTES;
    }

    private void takeBytes(ByteBuffer in) {
        int count = Math.min(remainingBytes, in.remaining());
        byte[] part = new byte[count];
        in.get(part);
        string.writeBytes(part);
        offset += count;
        remainingBytes -= count;
        if (remainingBytes == 0) {
            state = State.RETURN;
        }
    }

    private void stringComplete() {
        message.add(string.toString(StandardCharsets.UTF_8));
        if (string.size() > 1024) {
            string = new ByteArrayOutputStream(32);
        } else {
            string.reset();
        }
        state = State.BULK;
        if (message.size() == expectedStrings) {
            List<String> whole = message;
            message = new ArrayList<>();
            state = State.ARRAY;
            messageConsumer.accept(whole);
        }
    }
}
