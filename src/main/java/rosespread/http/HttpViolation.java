package rosespread.http;

/**
 * Thrown for a violation of HTTP/1.1 by code that does not know the position in the stream. {@link
 * HttpParser} converts it to an {@link HttpException}; a violation never leaves the package.
 */
final class HttpViolation extends Exception {
    private static final long serialVersionUID = 1L;
    private static final int MAX_QUOTED_CHARS = 60;

    private final int status;

    HttpViolation(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** The status with which a server answers: 4xx or 5xx. */
    int status() {
        return status;
    }

    /** Quotes untrusted text for an error message: shortened, with printable ASCII only. */
    static String quote(String text) {
        String cut =
                text.length() > MAX_QUOTED_CHARS
                        ? text.substring(0, MAX_QUOTED_CHARS) + "..."
                        : text;
        return "\"" + cut.replaceAll("[^\\x20-\\x7e]", "?") + "\"";
    }
}
