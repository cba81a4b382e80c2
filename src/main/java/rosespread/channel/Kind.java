package rosespread.channel;

/** Kinds of frames by their byte, and the bounds that both sides keep. */
enum Kind {
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
    static final int TEXT_MOST = 255, METHODS_MOST = 32, ENTRIES_MOST = 1 << 15;

    /** A receiver that does not know a frame's kind passes over it if this flag is set. */
    static final int OPTIONAL = 1;

    private static final Kind[] BY_CODE = new Kind[256];

    final int code;

    Kind(int code) {
        this.code = code;
    }

    static {
        for (Kind kind : values()) {
            BY_CODE[kind.code] = kind;
        }
    }

    static Kind of(int code) {
        return BY_CODE[code];
    }
}
