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
    private enum Place {
        ARRAY,
        COUNT,
        BULK,
        LENGTH,
        BYTES,
        RETURN,
        FEED
    }

    /** No number within the bounds has more digits. */
    private static final int DIGITS = 9;

    private final Consumer<List<String>> out;
    private RespLimits limits;
    private Place place = Place.ARRAY;
    private long offset;
    private long begun;
    private int number;
    private int digits;
    private boolean sawReturn;
    private int strings;
    private int left;
    private List<String> message = new ArrayList<>();
    private ByteArrayOutputStream bytes = new ByteArrayOutputStream(32);

    public RespParser(RespLimits limits, Consumer<List<String>> out) {
        this.limits = limits;
        this.out = out;
    }

    /** Other bounds from now on, such as once a peer has said who it is. */
    public void limit(RespLimits next) {
        limits = next;
    }

    /** Takes all bytes of the buffer. After an error nothing more may be fed. */
    public void feed(ByteBuffer in) throws RespException {
        while (in.hasRemaining()) {
            if (place == Place.BYTES) {
                takeBytes(in);
            } else {
                take(in.get());
                offset++;
            }
        }
    }

    private void take(byte b) throws RespException {
        switch (place) {
            case ARRAY -> {
                begun = offset;
                begin(b, '*', Place.COUNT);
            }
            case BULK -> begin(b, '$', Place.LENGTH);
            case COUNT, LENGTH -> takeNumber(b);
            case RETURN -> {
                need(b, '\r');
                place = Place.FEED;
            }
            case FEED -> {
                need(b, '\n');
                stringEnds();
            }
            default -> throw new IllegalStateException(place.name());
        }
    }

    private void begin(byte b, char mark, Place next) throws RespException {
        need(b, mark);
        number = 0;
        digits = 0;
        sawReturn = false;
        place = next;
    }

    private void need(byte b, char wanted) throws RespException {
        if (b != wanted) {
            String name = wanted == '\r' ? "CR" : wanted == '\n' ? "LF" : "'" + wanted + "'";
            throw new RespException(offset, name + " expected, not byte " + (b & 0xFF));
        }
    }

    private void takeNumber(byte b) throws RespException {
        if (sawReturn) {
            need(b, '\n');
            numberEnds();
        } else if (b == '\r' && digits > 0) {
            sawReturn = true;
        } else if (b >= '0' && b <= '9' && digits < DIGITS) {
            number = number * 10 + (b - '0');
            digits++;
        } else {
            throw new RespException(offset, "not a length of at most " + DIGITS + " digits");
        }
    }

    private void numberEnds() throws RespException {
        if (place == Place.COUNT) {
            if (number < 1 || number > limits.strings()) {
                throw new RespException(offset, number + " strings, not 1 to " + limits.strings());
            }
            strings = number;
            place = Place.BULK;
            return;
        }
        if (offset - begun + number > limits.bytes()) {
            throw new RespException(offset, "message over " + limits.bytes() + " bytes");
        }
        left = number;
        place = left == 0 ? Place.RETURN : Place.BYTES;
    }

    private void takeBytes(ByteBuffer in) {
        int count = Math.min(left, in.remaining());
        byte[] part = new byte[count];
        in.get(part);
        bytes.writeBytes(part);
        offset += count;
        left -= count;
        if (left == 0) {
            place = Place.RETURN;
        }
    }

    private void stringEnds() {
        message.add(bytes.toString(StandardCharsets.UTF_8));
        if (bytes.size() > 1024) {
            bytes = new ByteArrayOutputStream(32);
        } else {
            bytes.reset();
        }
        place = Place.BULK;
        if (message.size() == strings) {
            List<String> whole = message;
            message = new ArrayList<>();
            place = Place.ARRAY;
            out.accept(whole);
        }
    }
}
