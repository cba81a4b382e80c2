package rosespread.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes RESP2 arrays of bulk strings. */
public final class RespWriter {
    private RespWriter() {}

    public static byte[] encode(List<String> message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        write(message, out);
        return out.toByteArray();
    }

    /** Adds one message to what is there. */
    public static void write(List<String> message, ByteArrayOutputStream out) {
        writeHeader('*', message.size(), out);
        for (String text : message) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            writeHeader('$', bytes.length, out);
            out.writeBytes(bytes);
            out.write('\r');
            out.write('\n');
        }
    }

    private static void writeHeader(char mark, int number, ByteArrayOutputStream out) {
        out.write(mark);
        out.writeBytes(Integer.toString(number).getBytes(StandardCharsets.US_ASCII));
        out.write('\r');
        out.write('\n');
    }
}
