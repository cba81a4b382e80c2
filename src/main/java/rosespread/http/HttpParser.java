package rosespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/**
 * Parses a stream of HTTP/1.1 messages (RFC 9112) that may be cut at every byte; what is left after
 * a message begins the next one. Framing that two readers could take differently is refused, never
 * guessed: several or conflicting lengths, a length beside a transfer coding, a bare CR, space
 * before a colon, folded lines.
 */
public final class HttpParser {
    private enum Place {
        FIRST,
        HEADER,
        FIXED,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        TO_CLOSE
    }

    private final boolean calls;
    private final HttpLimits limits;
    private final Consumer<HttpMessage> out;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private Place place = Place.FIRST;
    private long offset;
    private boolean sawReturn, bodiless;
    private String first;
    private HttpHeaders headers;
    private int headerBytes, left;
    private ByteArrayOutputStream body;

    /**
     * @param calls whether the stream brings calls (a server's side) or answers
     */
    public HttpParser(boolean calls, HttpLimits limits, Consumer<HttpMessage> out) {
        this.calls = calls;
        this.limits = limits;
        this.out = out;
    }

    /** The answer that comes next has no body, whatever its headers say: it answers a HEAD. */
    public void nextIsBodiless() {
        bodiless = true;
    }

    /** Whether a message has begun that has not ended. */
    public boolean midway() {
        return place != Place.FIRST || line.size() > 0 || sawReturn;
    }

    /** Takes all bytes of the buffer. After an error nothing more may be fed. */
    public void feed(ByteBuffer in) throws HttpException {
        while (in.hasRemaining()) {
            switch (place) {
                case FIXED, CHUNK, TO_CLOSE -> takeBody(in);
                default -> {
                    offset++;
                    takeByte(in.get());
                }
            }
        }
    }

    /** The stream has ended: completes an answer that runs to the close. */
    public void end() throws HttpException {
        if (place == Place.TO_CLOSE) {
            complete();
        } else if (midway()) {
            throw error(400, "the stream ends within a message");
        }
    }

    private void takeBody(ByteBuffer in) throws HttpException {
        int count = place == Place.TO_CLOSE ? in.remaining() : Math.min(left, in.remaining());
        if (body.size() + count > limits.body()) {
            throw error(413, "body over " + limits.body() + " bytes");
        }
        byte[] part = new byte[count];
        in.get(part);
        offset += count;
        body.writeBytes(part);
        left -= count;
        if (place == Place.FIXED && left == 0) {
            complete();
        } else if (place == Place.CHUNK && left == 0) {
            place = Place.CHUNK_END;
        }
    }

    private void takeByte(byte b) throws HttpException {
        if (sawReturn) {
            if (b != '\n') {
                throw error(400, "a CR without LF");
            }
            sawReturn = false;
            String text = line.toString(StandardCharsets.ISO_8859_1);
            line.reset();
            takeLine(text);
        } else if (b == '\r') {
            sawReturn = true;
        } else if (b == '\n' || b == 0) {
            throw error(400, b == 0 ? "a NUL in the head" : "a LF without CR");
        } else {
            line.write(b);
            if (line.size() > limits.line()) {
                throw error(
                        place == Place.FIRST && calls ? 414 : 431,
                        "line over " + limits.line() + " bytes");
            }
        }
    }

    private void takeLine(String text) throws HttpException {
        switch (place) {
            case FIRST -> {
                if (!text.isEmpty()) {
                    takeFirst(text);
                }
            }
            case HEADER, TRAILER -> {
                if (text.isEmpty()) {
                    if (place == Place.TRAILER) {
                        complete();
                    } else {
                        headEnds();
                    }
                } else {
                    takeHeader(text);
                }
            }
            case CHUNK_SIZE -> takeChunkSize(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw error(400, "no line end after a chunk");
                }
                place = Place.CHUNK_SIZE;
            }
            default -> throw new IllegalStateException(place.name());
        }
    }

    private void takeFirst(String text) throws HttpException {
        boolean well =
                calls
                        ? text.matches(
                                "[!#$%&'*+.^_`|~0-9A-Za-z-]{1,20} [\\x21-\\x7e]+ HTTP/1\\.[01]")
                        : text.matches("HTTP/1\\.[01] [1-9][0-9]{2}( .*)?");
        if (!well) {
            throw error(400, "not a first line of HTTP/1.1: \"" + shown(text) + "\"");
        }
        first = text;
        headers = new HttpHeaders();
        headerBytes = 0;
        place = Place.HEADER;
    }

    private void takeHeader(String text) throws HttpException {
        int colon = text.indexOf(':');
        headerBytes += text.length();
        if (colon < 1 || !text.substring(0, colon).matches("[!#$%&'*+.^_`|~0-9A-Za-z-]+")) {
            throw error(400, "not a header field: \"" + shown(text) + "\"");
        }
        if (headers.size() >= limits.headers() || headerBytes > limits.headerBytes()) {
            throw error(
                    431,
                    "over "
                            + limits.headers()
                            + " header fields or "
                            + limits.headerBytes()
                            + " bytes");
        }
        if (place == Place.HEADER) {
            headers.add(text.substring(0, colon), text.substring(colon + 1).trim());
        }
    }

    private void headEnds() throws HttpException {
        body = new ByteArrayOutputStream(0);
        List<String> lengths = headers.all("content-length");
        List<String> codings = headers.all("transfer-encoding");
        int status = calls ? 0 : Integer.parseInt(first.substring(9, 12));
        if (!codings.isEmpty() && (!lengths.isEmpty() || first.contains("HTTP/1.0"))) {
            throw error(400, "a transfer coding beside a length or in HTTP/1.0");
        }
        if (!codings.isEmpty()
                && !(codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked"))) {
            throw error(
                    calls ? 501 : 502,
                    "transfer coding \"" + shown(codings.get(0)) + "\" is not chunked");
        }
        if (lengths.size() > 1 || !lengths.isEmpty() && !lengths.get(0).matches("[0-9]{1,18}")) {
            throw error(
                    400,
                    "content-length \""
                            + shown(String.join(", ", lengths))
                            + "\" is not one number");
        }
        if (!lengths.isEmpty() && Long.parseLong(lengths.get(0)) > limits.body()) {
            throw error(413, "body over " + limits.body() + " bytes");
        }
        boolean empty = !calls && (bodiless || status < 200 || status == 204 || status == 304);
        if (empty) {
            complete();
        } else if (!codings.isEmpty()) {
            place = Place.CHUNK_SIZE;
        } else if (!lengths.isEmpty() || calls) {
            left = lengths.isEmpty() ? 0 : Integer.parseInt(lengths.get(0));
            place = Place.FIXED;
            if (left == 0) {
                complete();
            }
        } else {
            place = Place.TO_CLOSE;
        }
    }

    private void takeChunkSize(String text) throws HttpException {
        int end = text.indexOf(';');
        String size = (end < 0 ? text : text.substring(0, end)).trim();
        if (!size.matches("[0-9A-Fa-f]{1,8}")) {
            throw error(400, "not a chunk size: \"" + shown(text) + "\"");
        }
        long bytes = Long.parseLong(size, 16);
        if (body.size() + bytes > limits.body()) {
            throw error(413, "body over " + limits.body() + " bytes");
        }
        left = (int) bytes;
        place = left == 0 ? Place.TRAILER : Place.CHUNK;
    }

    private void complete() {
        place = Place.FIRST;
        byte[] bytes = body.toByteArray();
        body = null;
        if (calls) {
            String[] parts = first.split(" ");
            out.accept(new HttpMessage.Request(parts[0], parts[1], closing(), bytes));
        } else {
            int status = Integer.parseInt(first.substring(9, 12));
            if (status >= 200) {
                bodiless = false;
                out.accept(new HttpMessage.Response(status, closing(), bytes));
            }
        }
    }

    /**
     * HTTP/1.0 closes unless it says otherwise; said so here once, so that nobody asks for the
     * version.
     */
    private HttpHeaders closing() {
        return first.contains("HTTP/1.0") && !headers.containsToken("connection", "keep-alive")
                ? headers.add("connection", "close")
                : headers;
    }

    private HttpException error(int status, String message) {
        return new HttpException(status, offset, message);
    }

    private static String shown(String text) {
        String cut = text.length() > 60 ? text.substring(0, 60) + "..." : text;
        return cut.replaceAll("[^\\x20-\\x7e]", "?");
    }
}
