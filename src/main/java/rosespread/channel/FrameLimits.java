package rosespread.channel;

/** Protocol limits on the fields of a frame, kept by both sides. */
final class FrameLimits {
    /** Longest text, in bytes of UTF-8: its length field is one byte. */
    static final int MAX_TEXT_BYTES = 255;

    /** Highest number of methods: a set of methods is 32 bits. */
    static final int MAX_METHODS = 32;

    /** Highest number of entries in one array, even if the frame could hold more. */
    static final int MAX_ENTRIES = 1 << 15;

    private FrameLimits() {}
}
