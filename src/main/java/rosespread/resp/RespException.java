package rosespread.resp;

import rosespread.codec.MalformedStreamException;

/**
 * Thrown when the bytes of a stream are not RESP2 arrays of bulk strings or a message exceeds its
 * limits. The stream cannot be parsed any further.
 */
public final class RespException extends MalformedStreamException {
    private static final long serialVersionUID = 1L;

    RespException(long byteOffset, String message) {
        super(byteOffset, message);
    }
}
