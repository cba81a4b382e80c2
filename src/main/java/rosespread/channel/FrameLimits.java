package rosespread.channel;

/** Bounds of the protocol on parts of a frame, kept by both sides. */
final class FrameLimits {
    /** Longest text in bytes of UTF-8, since its length is one byte. */
    static final int MAX_TEXT_BYTES = 255;

    /** Most methods, since a set of them is 32 bits. */
    static final int MAX_METHODS = 32;

    /** Most entries of one array, whatever the frame's length would allow. */
    static final int MAX_ENTRIES = 1 << 15;

    private FrameLimits() {}
}
