package rosespread.adapter;

/** What came in is not the wire; the message is one plain line for the reader of standard error. */
public final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
