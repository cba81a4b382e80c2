package rosespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Writes whole messages with a length; a value can bring no line of its own. */
final class HttpWriter {
    private HttpWriter() {}

    static byte[] bytes(HttpMessage message) {
        StringBuilder head = new StringBuilder(128);
        if (message instanceof HttpMessage.Request call) {
            head.append(call.method()).append(' ').append(call.target()).append(" HTTP/1.1\r\n");
        } else if (message instanceof HttpMessage.Response answer) {
            head.append("HTTP/1.1 ")
                    .append(answer.status())
                    .append(' ')
                    .append(reason(answer.status()))
                    .append("\r\n");
        }
        message.headers()
                .each(
                        (name, value) ->
                                head.append(name)
                                        .append(": ")
                                        .append(value.replaceAll("[\\r\\n\\x00]", " "))
                                        .append("\r\n"));
        head.append("content-length: ").append(message.body().length).append("\r\n\r\n");
        ByteArrayOutputStream all =
                new ByteArrayOutputStream(head.length() + message.body().length);
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(message.body());
        return all.toByteArray();
    }

    private static String reason(int status) {
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
