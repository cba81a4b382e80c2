package rosespread.http;

/**
 * Bounds on one incoming message.
 *
 * @param maxLineBytes longest start line, header line or chunk size line, without its CRLF
 * @param maxHeaders most header fields
 * @param maxHeaderBytes most bytes of all header and trailer lines together
 * @param maxBodyBytes largest body, after chunks are joined
 */
public record HttpLimits(int maxLineBytes, int maxHeaders, int maxHeaderBytes, int maxBodyBytes) {
    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    /** For requests and for responses of a moderate size: a body of 1 MiB. */
    public static final HttpLimits DEFAULT = new HttpLimits(8 * KIB, 100, 32 * KIB, MIB);

    /** For endpoint lists, where a large fleet's catalogue is one body: 64 MiB. */
    public static final HttpLimits LARGE = new HttpLimits(8 * KIB, 100, 32 * KIB, 64 * MIB);
}
