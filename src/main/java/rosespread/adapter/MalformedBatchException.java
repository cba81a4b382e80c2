package rosespread.adapter;

/** Thrown if a line of input is not a valid batch. The message is one line for standard error. */
public final class MalformedBatchException extends Exception {
    private static final long serialVersionUID = 1L;

    private final long lineNumber;

    MalformedBatchException(long lineNumber, String detail) {
        super("line " + lineNumber + " is not a valid batch: " + detail);
        this.lineNumber = lineNumber;
    }

    /** The line number, starting at 1. */
    public long lineNumber() {
        return lineNumber;
    }
}
