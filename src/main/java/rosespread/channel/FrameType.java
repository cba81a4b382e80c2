package rosespread.channel;

/** Kinds of frames by their byte, and the bounds that both sides keep. */
enum FrameType {
    HELLO(1),
    JOIN(2),
    NODE(3),
    BIND(4),
    LINES(5),
    WITHDRAW(6),
    LEVELS(7),
    MARK(8),
    INSTALLED(9),
    SUMS(10),
    OFFERED(11),
    KEEP_ALIVE(12),
    CLOSE(13),
    MISSED(14),
    PACKED(15);

    /** Longest text in bytes; most methods and most lines or sums in one frame. */
    static final int MAX_TEXT_BYTES = 255, MAX_METHODS = 32, MAX_ENTRIES = 1 << 15;

    /** A receiver that does not know a frame's kind passes over it if this flag is set. */
    static final int OPTIONAL_FLAG = 1;

    private static final FrameType[] BY_CODE = new FrameType[256];

    final int code;

    FrameType(int code) {
        this.code = code;
    }

    static {
        for (FrameType kind : values()) {
            BY_CODE[kind.code] = kind;
        }
    }

    static FrameType of(int code) {
        return BY_CODE[code];
    }
}
