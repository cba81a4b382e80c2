package rosespread.adapter;

/** A line of input is not a batch; the message is one line for the reader of standard error. */
public final class MalformedBatchException extends Exception {
    private static final long serialVersionUID = 1L;

    private final long lineNumber;

    MalformedBatchException(long lineNumber, String detail) {
        super("line " + lineNumber + " is not a batch: " + detail);
        this.lineNumber = lineNumber;
    }

    /** The number of the line, from 1. */
    public long lineNumber() {
        return lineNumber;
    }
}
