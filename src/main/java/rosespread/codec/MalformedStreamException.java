package rosespread.codec;

/**
 * Thrown by a {@link MessageParser} when the bytes of a stream violate its protocol. The message
 * ends with the offset of the offending byte, counted from the start of the stream.
 */
public abstract class MalformedStreamException extends Exception {
    private static final long serialVersionUID = 1L;

    private final long byteOffset;

    /**
     * @param offset the number of bytes of the stream before the violation
     * @param message what is wrong, without the offset
     */
    protected MalformedStreamException(long offset, String message) {
        super(message + " (byte " + offset + ")");
        byteOffset = offset;
    }

    /** The offset of the offending byte, counted from the start of the stream. */
    public final long byteOffset() {
        return byteOffset;
    }
}
