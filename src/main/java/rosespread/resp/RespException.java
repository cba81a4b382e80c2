package rosespread.resp;

import rosespread.codec.MalformedStreamException;

/**
 * The bytes of a stream are not RESP2 arrays of bulk strings, or a message passes its limits. The
 * stream cannot be read any further.
 */
public final class RespException extends MalformedStreamException {
    private static final long serialVersionUID = 1L;

    RespException(long byteOffset, String message) {
        super(byteOffset, message);
    }
}
