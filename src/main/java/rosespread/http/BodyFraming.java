package rosespread.http;

import java.util.List;

/** The way in which the end of a message body is determined (RFC 9112, section 6). */
sealed interface BodyFraming {
    /** The message ends with its headers. */
    record NoBody() implements BodyFraming {}

    /** The body has {@code bytes} bytes, possibly 0. */
    record FixedLength(int bytes) implements BodyFraming {}

    /** The body is a sequence of chunks. */
    record Chunked() implements BodyFraming {}

    /** The body ends when the connection closes. */
    record UntilClose() implements BodyFraming {}

    /**
     * Determines the framing from a start line and complete headers.
     *
     * @throws HttpViolation if the headers are ambiguous, ask for an unsupported transfer coding or
     *     announce a body over the limit
     */
    static BodyFraming of(StartLine start, HttpHeaders headers, HttpLimits limits)
            throws HttpViolation {
        List<String> lengths = headers.all("content-length");
        List<String> codings = headers.all("transfer-encoding");
        boolean isRequest = start instanceof StartLine.RequestLine;
        checkCodings(codings, isRequest, !lengths.isEmpty() || start.isHttp10());
        checkLengths(lengths, limits.maxBodyBytes());
        if (start.neverHasBody()) {
            return new NoBody();
        }
        if (!codings.isEmpty()) {
            return new Chunked();
        }
        if (!lengths.isEmpty()) {
            return new FixedLength(Integer.parseInt(lengths.get(0)));
        }
        return isRequest ? new FixedLength(0) : new UntilClose();
    }

    private static void checkCodings(List<String> codings, boolean isRequest, boolean conflicting)
            throws HttpViolation {
        if (codings.isEmpty()) {
            return;
        }
        if (conflicting) {
            throw new HttpViolation(400, "transfer-encoding with content-length or in HTTP/1.0");
        }
        if (codings.size() != 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
            throw new HttpViolation(
                    isRequest ? 501 : 502,
                    "transfer coding " + HttpViolation.quote(codings.get(0)) + " is not chunked");
        }
    }

    private static void checkLengths(List<String> lengths, int maxBytes) throws HttpViolation {
        if (lengths.isEmpty()) {
            return;
        }
        if (lengths.size() > 1 || !lengths.get(0).matches("[0-9]{1,18}")) {
            throw new HttpViolation(
                    400,
                    "content-length "
                            + HttpViolation.quote(String.join(", ", lengths))
                            + " is not a single number");
        }
        if (Long.parseLong(lengths.get(0)) > maxBytes) {
            throw bodyTooLarge(maxBytes);
        }
    }

    /** Creates the violation for a body over the limit, announced or received. */
    static HttpViolation bodyTooLarge(int maxBytes) {
        return new HttpViolation(413, "body over " + maxBytes + " bytes");
    }
}
