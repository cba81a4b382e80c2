package rosespread.http;

import java.nio.charset.StandardCharsets;

/** A complete HTTP/1.1 message. The body array is not copied and must not be modified. */
public sealed interface HttpMessage {
    /**
     * The header fields; an outgoing message omits content-length, which {@link HttpWriter} adds.
     */
    HttpHeaders headers();

    /** The body; empty, not null, if there is none. */
    byte[] body();

    /** Whether the connection may be used for another message after this one. */
    default boolean keepsAlive() {
        return !headers().containsToken("connection", "close");
    }

    /** Estimate of the memory in bytes that the message needs. */
    default int heldBytes() {
        return headers().heldBytes() + body().length;
    }

    /** The body as UTF-8; malformed bytes become replacement characters. */
    default String text() {
        return new String(body(), StandardCharsets.UTF_8);
    }

    /**
     * A request.
     *
     * @param method the method, in upper case by convention
     * @param target the path and query, exactly as in the request line
     */
    record Request(String method, String target, HttpHeaders headers, byte[] body)
            implements HttpMessage {
        /** The target without its query; percent-encoding is left as it is. */
        public String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }
    }

    /**
     * A response.
     *
     * @param status the status code, 100 to 999
     */
    record Response(int status, HttpHeaders headers, byte[] body) implements HttpMessage {
        /** A response with a text body in UTF-8. */
        public static Response of(int status, String contentType, String text) {
            return new Response(
                    status,
                    HttpHeaders.of("content-type", contentType),
                    text.getBytes(StandardCharsets.UTF_8));
        }

        /** A response of type {@code application/json}. */
        public static Response json(int status, String text) {
            return of(status, "application/json", text);
        }
    }
}
