package rosespread.http;

import java.util.Optional;
import rosespread.codec.MalformedStreamException;

/** Thrown when received bytes are not HTTP/1.1, or use a feature this package does not accept. */
public final class HttpException extends MalformedStreamException {
    private static final long serialVersionUID = 1L;

    private final int status;

    HttpException(int status, long offset, String message) {
        super(offset, message);
        this.status = status;
    }

    /** The status with which a server answers before it closes the connection: 4xx or 5xx. */
    public int status() {
        return status;
    }

    /** Finds the HTTP error in the cause chain of an exception; MINA wraps it in its own. */
    static Optional<HttpException> findIn(Throwable thrown) {
        for (Throwable cause = thrown; cause != null; cause = cause.getCause()) {
            if (cause instanceof HttpException found) {
                return Optional.of(found);
            }
        }
        return Optional.empty();
    }
}
