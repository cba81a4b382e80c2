package rosespread.store;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * The frame of one line of a table file: a CRC32C in eight hexadecimal digits, a space, a JSON
 * object without newlines, and a newline. The checksum covers only the JSON. Stateless.
 */
final class LogLine {
    private static final int CRC_DIGITS = 8;

    /** Number of bytes before the JSON. */
    private static final int JSON_OFFSET = CRC_DIGITS + 1;

    private LogLine() {}

    /** Encodes a JSON object as a line, newline included. */
    static byte[] encode(byte[] json) {
        byte[] line = new byte[JSON_OFFSET + json.length + 1];
        byte[] crc = crc(json, 0, json.length).getBytes(StandardCharsets.US_ASCII);
        System.arraycopy(crc, 0, line, 0, CRC_DIGITS);
        line[CRC_DIGITS] = ' ';
        System.arraycopy(json, 0, line, JSON_OFFSET, json.length);
        line[line.length - 1] = '\n';
        return line;
    }

    /** Returns the index of the first newline at or after {@code from}, or the length if none. */
    static int end(byte[] bytes, int from) {
        int end = from;
        while (end < bytes.length && bytes[end] != '\n') {
            end++;
        }
        return end;
    }

    /** Returns the index of the first byte of JSON in the line at {@code from}. */
    static int jsonStart(int from) {
        return from + JSON_OFFSET;
    }

    /**
     * Returns the fault in the frame of the line from {@code from} to {@code end}; empty if valid.
     */
    static Optional<String> fault(byte[] bytes, int from, int end) {
        int json = jsonStart(from);
        if (end >= bytes.length) {
            return Optional.of("line does not end with a newline");
        }
        if (json > end || bytes[json - 1] != ' ') {
            return Optional.of("line does not start with a checksum and a space");
        }
        String stored = new String(bytes, from, CRC_DIGITS, StandardCharsets.ISO_8859_1);
        String actual = crc(bytes, json, end - json);
        return stored.equals(actual)
                ? Optional.empty()
                : Optional.of(
                        "computed checksum is " + actual + ", stored is " + printable(stored));
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
