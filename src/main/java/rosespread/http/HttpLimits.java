package rosespread.http;

/** Bounds in bytes on what one message may bring, and on how many headers it has. */
public record HttpLimits(int line, int headers, int headerBytes, int body) {
    public static final HttpLimits DEFAULT = new HttpLimits(8 << 10, 100, 32 << 10, 1 << 20);

    /** For answers of a server list: a large fleet's catalogue is one body. */
    public static final HttpLimits LARGE = new HttpLimits(8 << 10, 100, 32 << 10, 64 << 20);
}
