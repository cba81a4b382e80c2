package rosespread.discovery;

/**
 * Thrown if a response is not a valid node list. The message states the entry and field, or the
 * line and column.
 */
final class NodeListException extends Exception {
    private static final long serialVersionUID = 1L;

    NodeListException(String message) {
        super(message);
    }
}
