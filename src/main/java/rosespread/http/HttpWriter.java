package rosespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Encodes HTTP messages. Every message has a {@code content-length}; line breaks and NUL in a
 * header value become spaces, so that a value cannot inject a header.
 */
final class HttpWriter {
    private static final int INITIAL_HEAD_CHARS = 128;
    private static final String CRLF = "\r\n";

    private HttpWriter() {}

    static byte[] bytes(HttpMessage message) {
        StringBuilder head = new StringBuilder(INITIAL_HEAD_CHARS);
        appendStartLine(head, message);
        message.headers().forEach((name, value) -> appendField(head, name, sanitize(value)));
        appendField(head, "content-length", String.valueOf(message.body().length));
        head.append(CRLF);
        ByteArrayOutputStream bytes =
                new ByteArrayOutputStream(head.length() + message.body().length);
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(message.body());
        return bytes.toByteArray();
    }

    private static void appendStartLine(StringBuilder head, HttpMessage message) {
        if (message instanceof HttpMessage.Request request) {
            head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1");
        } else if (message instanceof HttpMessage.Response response) {
            head.append("HTTP/1.1 ")
                    .append(response.status())
                    .append(' ')
                    .append(reasonPhrase(response.status()));
        }
        head.append(CRLF);
    }

    private static void appendField(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append(CRLF);
    }

    private static String sanitize(String value) {
        return value.replaceAll("[\\r\\n\\x00]", " ");
    }

    private static String reasonPhrase(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 422 -> "Unprocessable Content";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 503 -> "Service Unavailable";
            default -> "Status " + status;
        };
    }
}
