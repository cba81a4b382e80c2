package rosespread.http;

/**
 * Limits on one incoming message.
 *
 * @param maxLineBytes longest start line, header line or chunk size line, in bytes without CRLF
 * @param maxHeaders highest number of header fields
 * @param maxHeaderBytes largest total of all header and trailer lines, in bytes
 * @param maxBodyBytes largest body, in bytes after chunks are joined
 */
public record HttpLimits(int maxLineBytes, int maxHeaders, int maxHeaderBytes, int maxBodyBytes) {
    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    /** Limits for requests and for responses of moderate size: a body of up to 1 MiB. */
    public static final HttpLimits DEFAULT = new HttpLimits(8 * KIB, 100, 32 * KIB, MIB);

    /** Limits for endpoint lists, where the catalog of a large fleet is one body: up to 64 MiB. */
    public static final HttpLimits LARGE = new HttpLimits(8 * KIB, 100, 32 * KIB, 64 * MIB);
}
