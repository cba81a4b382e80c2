package rosespread.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Collects a line that ends with CRLF, byte by byte. Rejects a bare CR, a bare LF and a NUL. */
final class LineBuffer {
    private static final int INITIAL_BYTES = 128;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
    private boolean sawCarriageReturn;

    /** Appends the next byte; returns whether the line is complete. */
    boolean append(byte next) throws HttpViolation {
        if (sawCarriageReturn) {
            if (next != '\n') {
                throw new HttpViolation(400, "a CR without LF");
            }
            sawCarriageReturn = false;
            return true;
        }
        if (next == '\n') {
            throw new HttpViolation(400, "a LF without CR");
        }
        if (next == 0) {
            throw new HttpViolation(400, "a NUL in a line");
        }
        if (next == '\r') {
            sawCarriageReturn = true;
        } else {
            bytes.write(next);
        }
        return false;
    }

    /** The length of the line so far, in bytes without CR and LF. */
    int length() {
        return bytes.size();
    }

    /** Whether no byte of the next line has been appended. */
    boolean isEmpty() {
        return bytes.size() == 0 && !sawCarriageReturn;
    }

    /** Returns the completed line as ISO-8859-1 and starts the next one. */
    String take() {
        String line = bytes.toString(StandardCharsets.ISO_8859_1);
        bytes.reset();
        return line;
    }
}
