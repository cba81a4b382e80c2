package rosespread.http;

import java.nio.charset.StandardCharsets;

/** A whole message of HTTP/1.1; the body is shared, never copied. */
public sealed interface HttpMessage {
    HttpHeaders headers();

    byte[] body();

    /** Whether the connection may carry another message after this one. */
    default boolean keepsAlive() {
        return !headers().names("connection", "close");
    }

    default String text() {
        return new String(body(), StandardCharsets.UTF_8);
    }

    /**
     * @param target the path and query as they stand in the first line
     */
    record Request(String method, String target, HttpHeaders headers, byte[] body)
            implements HttpMessage {
        public String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }
    }

    record Response(int status, HttpHeaders headers, byte[] body) implements HttpMessage {
        public static Response of(int status, String type, String text) {
            return new Response(
                    status,
                    HttpHeaders.of("content-type", type),
                    text.getBytes(StandardCharsets.UTF_8));
        }

        public static Response json(int status, String text) {
            return of(status, "application/json", text);
        }
    }
}
