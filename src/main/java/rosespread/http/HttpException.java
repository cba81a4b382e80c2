package rosespread.http;

/**
 * What came in is not the HTTP/1.1 that this codec takes; the message names the byte offset in the
 * stream.
 */
public final class HttpException extends Exception {
    private static final long serialVersionUID = 1L;

    private final int status;

    public HttpException(int status, long offset, String message) {
        super(message + " (byte " + offset + ")");
        this.status = status;
    }

    /** The status that a server answers with before it closes. */
    public int status() {
        return status;
    }
}
