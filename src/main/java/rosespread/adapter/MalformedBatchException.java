package rosespread.adapter;

/** What came in is not the wire; the message is one plain line for the reader of standard error. */
public final class MalformedBatchException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedBatchException(String message) {
        super(message);
    }
}
