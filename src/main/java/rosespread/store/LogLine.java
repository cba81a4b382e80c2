package rosespread.store;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The frame of one line of a table file: a CRC32C in eight hexadecimal digits, a space, an object
 * of JSON and a newline; no newline occurs within. The checksum covers the JSON alone. Stateless.
 */
final class LogLine {
    private static final int CRC_DIGITS = 8;

    /** Bytes before the JSON. */
    private static final int JSON_OFFSET = CRC_DIGITS + 1;

    private LogLine() {}

    /** The line for an object of JSON, newline included. */
    static byte[] encode(byte[] json) {
        byte[] line = new byte[JSON_OFFSET + json.length + 1];
        byte[] crc = crc(json, 0, json.length).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(crc, 0, line, 0, CRC_DIGITS);
        line[CRC_DIGITS] = ' ';
        System.arraycopy(json, 0, line, JSON_OFFSET, json.length);
        line[line.length - 1] = '\n';
        return line;
    }

    /** The index of the newline that ends the line at {@code from}, or the length without one. */
    static int end(byte[] bytes, int from) {
        int end = from;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        return end;
    }

    /** The index of the first byte of JSON in the line at {@code from}. */
    static int json(int from) {
        return from + JSON_OFFSET;
    }

    /**
     * What is wrong with the frame of the line from {@code from} to {@code end}; empty if whole.
     */
    static Optional<String> fault(byte[] bytes, int from, int end) {
        int json = json(from);
        if (end >= bytes.length) {
            return Optional.of("a line without its end");
        }
        if (json > end || bytes[json - 1] != ' ') {
            return Optional.of("a line without a checksum");
        }
        String written = new String(bytes, from, CRC_DIGITS, StandardCharsets.ISO_8859_1);
        String actual = crc(bytes, json, end - json);
        return written.equals(actual)
                ? Optional.empty()
                : Optional.of("the checksum is " + actual + ", written was " + printable(written));
    }

    private static String crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return String.format("%08x", crc.getValue());
    }

    private static String printable(String text) {
        return "\"" + text.replaceAll("[^ -~]", "?") + "\"";
    }
}
