package rosespread.channel;

/** The types of frames, each with its byte on the wire. */
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

    /** The flag of a frame that the receiver skips if the type is unknown to it. */
    static final int OPTIONAL_FLAG = 1;

    private static final FrameType[] BY_CODE = new FrameType[256];

    static {
        for (FrameType type : values()) {
            BY_CODE[type.code] = type;
        }
    }

    private final int code;

    FrameType(int code) {
        this.code = code;
    }

    /** The byte on the wire, 0 to 255. */
    int code() {
        return code;
    }

    /**
     * The type of a byte on the wire; null if this version does not know the byte. Null instead of
     * an Optional saves one allocation per frame.
     *
     * @param code 0 to 255
     */
    static FrameType of(int code) {
        return BY_CODE[code];
    }
}
