package rosespread.resp;

/** What came in is not RESP2 arrays of bulk strings, or passes a bound; names the byte offset. */
public final class RespException extends Exception {
    private static final long serialVersionUID = 1L;

    RespException(long offset, String message) {
        super(message + " (byte " + offset + ")");
    }
}
