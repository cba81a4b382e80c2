package rosespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import rosespread.codec.MessageParser;

/**
 * Parses a stream of HTTP/1.1 messages (RFC 9112) that may be split between any two bytes; bytes
 * after a message begin the next one. Framing that two recipients could interpret differently is
 * rejected: several or conflicting lengths, a length together with a transfer coding, a bare CR,
 * space before a colon, folded lines.
 *
 * <p>Memory is bounded by {@link HttpLimits}. Not thread-safe: a parser belongs to the I/O thread
 * of its connection.
 */
public final class HttpParser implements MessageParser {
    /** The kind of messages in the stream. */
    public enum Mode {
        /** Requests, as a server receives them. */
        REQUESTS,
        /** Responses, as a client receives them. */
        RESPONSES
    }

    private enum State {
        START_LINE,
        HEADER,
        FIXED_BODY,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        BODY_UNTIL_CLOSE
    }

    private static final Pattern FIELD_NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern CHUNK_SIZE_PATTERN = Pattern.compile("[0-9A-Fa-f]{1,8}");

    private final Mode mode;
    private final HttpLimits limits;
    private final Consumer<HttpMessage> out;
    private final LineBuffer line = new LineBuffer();
    private State state = State.START_LINE;

    /** The number of bytes of the stream that have been consumed. */
    private long offset;

    private StartLine startLine;
    private HttpHeaders headers;
    private int headerBytes;
    private ByteArrayOutputStream body;

    /** The number of bytes missing from the fixed-length body or the current chunk. */
    private int missingBytes;

    /**
     * @param limits the limits on each message
     * @param out receives each complete message, on the thread that calls {@link #feed}
     */
    public HttpParser(Mode mode, HttpLimits limits, Consumer<HttpMessage> out) {
        this.mode = mode;
        this.limits = limits;
        this.out = out;
    }

    /**
     * {@inheritDoc}
     *
     * @throws HttpException if the bytes are not acceptable HTTP/1.1
     */
    @Override
    public void feed(ByteBuffer in) throws HttpException {
        try {
            while (in.hasRemaining()) {
                switch (state) {
                    case FIXED_BODY, CHUNK_DATA, BODY_UNTIL_CLOSE -> readBody(in);
                    default -> readLineByte(in);
                }
            }
        } catch (HttpViolation e) {
            throw new HttpException(e.status(), offset, e.getMessage());
        }
    }

    /**
     * Completes a response whose body runs to the end of the stream.
     *
     * @throws HttpException if the stream ends within a message
     */
    @Override
    public void end() throws HttpException {
        if (state == State.BODY_UNTIL_CLOSE) {
            completeMessage();
        } else if (state != State.START_LINE || !line.isEmpty()) {
            throw new HttpException(400, offset, "the stream ends within a message");
        }
    }

    @Override
    public int heldBytes() {
        int headBytes = headers == null ? 0 : headers.heldBytes();
        return 2 * line.length() + headBytes + (body == null ? 0 : 2 * body.size());
    }

    private void readBody(ByteBuffer in) throws HttpViolation {
        boolean untilClose = state == State.BODY_UNTIL_CLOSE;
        int count = untilClose ? in.remaining() : Math.min(missingBytes, in.remaining());
        requireBodyWithinLimit(count);
        byte[] bytes = new byte[count];
        in.get(bytes);
        offset += count;
        body.writeBytes(bytes);
        if (untilClose) {
            return;
        }
        missingBytes -= count;
        if (missingBytes > 0) {
            return;
        }
        if (state == State.FIXED_BODY) {
            completeMessage();
        } else {
            state = State.CHUNK_END;
        }
    }

    private void readLineByte(ByteBuffer in) throws HttpViolation {
        offset++;
        if (line.append(in.get())) {
            readLine(line.take());
        } else if (line.length() > limits.maxLineBytes()) {
            boolean isTarget = state == State.START_LINE && mode == Mode.REQUESTS;
            throw new HttpViolation(
                    isTarget ? 414 : 431, "line over " + limits.maxLineBytes() + " bytes");
        }
    }

    private void readLine(String text) throws HttpViolation {
        switch (state) {
            case START_LINE -> readStartLine(text);
            case HEADER -> readHeaderLine(text);
            case TRAILER -> readTrailerLine(text);
            case CHUNK_SIZE -> readChunkSize(text);
            case CHUNK_END -> readChunkEnd(text);
            default -> throw new IllegalStateException(state.name());
        }
    }

    /** Skips empty lines before a message (RFC 9112, 2.2). */
    private void readStartLine(String text) throws HttpViolation {
        if (text.isEmpty()) {
            return;
        }
        startLine =
                mode == Mode.REQUESTS
                        ? StartLine.RequestLine.parse(text)
                        : StartLine.StatusLine.parse(text);
        headers = new HttpHeaders();
        headerBytes = 0;
        state = State.HEADER;
    }

    private void readHeaderLine(String text) throws HttpViolation {
        if (text.isEmpty()) {
            beginBody();
            return;
        }
        int colon = checkField(text);
        headers.add(text.substring(0, colon), text.substring(colon + 1).trim());
    }

    /** Checks trailer fields and discards them. */
    private void readTrailerLine(String text) throws HttpViolation {
        if (text.isEmpty()) {
            completeMessage();
        } else {
            checkField(text);
        }
    }

    /** Checks a header or trailer line and returns the index of its colon. */
    private int checkField(String text) throws HttpViolation {
        int colon = text.indexOf(':');
        headerBytes += text.length();
        if (colon < 1 || !FIELD_NAME.matcher(text.substring(0, colon)).matches()) {
            throw new HttpViolation(400, "not a header field: " + HttpViolation.quote(text));
        }
        if (headers.size() >= limits.maxHeaders() || headerBytes > limits.maxHeaderBytes()) {
            throw new HttpViolation(
                    431,
                    "over "
                            + limits.maxHeaders()
                            + " header fields or "
                            + limits.maxHeaderBytes()
                            + " bytes");
        }
        return colon;
    }

    private void beginBody() throws HttpViolation {
        body = new ByteArrayOutputStream(0);
        BodyFraming framing = BodyFraming.of(startLine, headers, limits);
        if (framing instanceof BodyFraming.Chunked) {
            state = State.CHUNK_SIZE;
        } else if (framing instanceof BodyFraming.UntilClose) {
            state = State.BODY_UNTIL_CLOSE;
        } else if (framing instanceof BodyFraming.FixedLength fixed && fixed.bytes() > 0) {
            missingBytes = fixed.bytes();
            state = State.FIXED_BODY;
        } else {
            completeMessage();
        }
    }

    /** Reads a chunk size line; chunk extensions are ignored. */
    private void readChunkSize(String text) throws HttpViolation {
        int extension = text.indexOf(';');
        String size = (extension < 0 ? text : text.substring(0, extension)).trim();
        if (!CHUNK_SIZE_PATTERN.matcher(size).matches()) {
            throw new HttpViolation(400, "not a chunk size: " + HttpViolation.quote(text));
        }
        long bytes = Long.parseLong(size, 16);
        requireBodyWithinLimit(bytes);
        missingBytes = (int) bytes;
        state = missingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
    }

    private void readChunkEnd(String text) throws HttpViolation {
        if (!text.isEmpty()) {
            throw new HttpViolation(
                    400, "expected CRLF after a chunk, found " + HttpViolation.quote(text));
        }
        state = State.CHUNK_SIZE;
    }

    private void requireBodyWithinLimit(long additionalBytes) throws HttpViolation {
        if (body.size() + additionalBytes > limits.maxBodyBytes()) {
            throw BodyFraming.bodyTooLarge(limits.maxBodyBytes());
        }
    }

    private void completeMessage() {
        state = State.START_LINE;
        byte[] bytes = body.toByteArray();
        body = null;
        HttpHeaders complete = effectiveHeaders();
        headers = null;
        if (!startLine.isInterim()) {
            out.accept(startLine.toMessage(complete, bytes));
        }
    }

    /**
     * Adds {@code connection: close} to a message of HTTP/1.0 without keep-alive, which closes the
     * connection by default, so that callers need not know the version.
     */
    private HttpHeaders effectiveHeaders() {
        return startLine.isHttp10() && !headers.containsToken("connection", "keep-alive")
                ? headers.add("connection", "close")
                : headers;
    }
}
