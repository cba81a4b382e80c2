package rosespread.http;

import java.util.regex.Pattern;

/** The start line of a message (RFC 9112, sections 3 and 4). */
sealed interface StartLine {
    /** Whether the version is HTTP/1.0, recognized by that text anywhere in the line. */
    boolean isHttp10();

    /** Builds the message once its headers and body are complete. */
    HttpMessage toMessage(HttpHeaders headers, byte[] body);

    /** Whether the message never has a body, regardless of its headers. */
    default boolean neverHasBody() {
        return false;
    }

    /** Whether further messages of the same exchange follow; such a message is not delivered. */
    default boolean isInterim() {
        return false;
    }

    /** A request line such as {@code GET /path HTTP/1.1}. */
    record RequestLine(String method, String target, boolean isHttp10) implements StartLine {
        private static final Pattern PATTERN =
                Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]{1,20} [\\x21-\\x7e]+ HTTP/1\\.[01]");

        static RequestLine parse(String line) throws HttpViolation {
            requireMatch(PATTERN, line);
            String[] parts = line.split(" ");
            return new RequestLine(parts[0], parts[1], mentionsHttp10(line));
        }

        @Override
        public HttpMessage toMessage(HttpHeaders headers, byte[] body) {
            return new HttpMessage.Request(method, target, headers, body);
        }
    }

    /** A status line such as {@code HTTP/1.1 200 OK}. */
    record StatusLine(int status, boolean isHttp10) implements StartLine {
        private static final Pattern PATTERN = Pattern.compile("HTTP/1\\.[01] [1-9][0-9]{2}( .*)?");
        private static final int STATUS_START = "HTTP/1.1 ".length();
        private static final int STATUS_DIGITS = 3;

        static StatusLine parse(String line) throws HttpViolation {
            requireMatch(PATTERN, line);
            String status = line.substring(STATUS_START, STATUS_START + STATUS_DIGITS);
            return new StatusLine(Integer.parseInt(status), mentionsHttp10(line));
        }

        @Override
        public HttpMessage toMessage(HttpHeaders headers, byte[] body) {
            return new HttpMessage.Response(status, headers, body);
        }

        @Override
        public boolean neverHasBody() {
            return isInterim() || status == 204 || status == 304;
        }

        @Override
        public boolean isInterim() {
            return status < 200;
        }
    }

    private static void requireMatch(Pattern pattern, String line) throws HttpViolation {
        if (!pattern.matcher(line).matches()) {
            throw new HttpViolation(
                    400, "not a start line of HTTP/1.1: " + HttpViolation.quote(line));
        }
    }

    private static boolean mentionsHttp10(String line) {
        return line.contains("HTTP/1.0");
    }
}
