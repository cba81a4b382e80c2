package rosespread.resp;

/**
 * The bytes of a stream are not RESP2 arrays of bulk strings, or a message passes its limits. The
 * stream cannot be read any further.
 */
public final class RespException extends Exception {
    private static final long serialVersionUID = 1L;

    private final long byteOffset;

    RespException(long byteOffset, String message) {
        super(message + " (byte " + byteOffset + ")");
        this.byteOffset = byteOffset;
    }

    /** The offset of the byte at fault from the start of the stream. */
    public long byteOffset() {
        return byteOffset;
    }
}
