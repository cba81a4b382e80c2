package rosespread.resp;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Writes messages as RESP2 arrays of bulk strings in UTF-8. */
public final class RespWriter {
    private static final int INITIAL_CAPACITY = 128;

    private RespWriter() {}

    /** Returns the encoded bytes of one message. */
    public static byte[] encode(List<String> message) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_CAPACITY);
        write(message, out);
        return out.toByteArray();
    }

    /** Appends one message to {@code out}. */
    public static void write(List<String> message, ByteArrayOutputStream out) {
        writeHeader('*', message.size(), out);
        for (String string : message) {
            byte[] bytes = string.getBytes(StandardCharsets.UTF_8);
            writeHeader('$', bytes.length, out);
            out.writeBytes(bytes);
            writeLineEnd(out);
        }
    }

    private static void writeHeader(char type, int length, ByteArrayOutputStream out) {
        out.write(type);
        out.writeBytes(Integer.toString(length).getBytes(StandardCharsets.US_ASCII));
        writeLineEnd(out);
    }

    private static void writeLineEnd(ByteArrayOutputStream out) {
        out.write('\r');
        out.write('\n');
    }
}
